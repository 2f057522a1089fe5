// Package configfile reads the declarative files of operators.
//
// A file holds YAML documents separated by "---"; each declares one item by its
// field kind. Decoding is strict: an unknown or doubled field, a doubled item,
// a reference to what does not exist or an impossible rate is an error that
// names file and line. See docs/CONFIGURATION.md for the kinds and fields.
package configfile

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"oleanderdale.org/core/config"
)

// MaxFileBytes bounds one file.
const MaxFileSize = 16 << 20

var (
	// ErrRead says that a file or directory can't be read.
	ErrRead = errors.New("configuration can't be read")
	// ErrNoFiles says that there is nothing to read.
	ErrNoFiles = errors.New("no configuration files")
)

// Problem is one fault in a file.
type Problem struct {
	File string
	Line int // starting at 1
	Text string
}

// String formats the problem as file:line: sentence.
func (p Problem) String() string { return fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.Text) }

// InvalidError lists the faults of the files, by file and line.
type InvalidError struct{ Problems []Problem }

// Error implements error, with one fault per line.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// File is one file's name, as shown in errors, and its content.
type File struct {
	Name string
	Data []byte
}

// Load reads files, and of directories the files ending in .yaml or .yml, as
// one configuration. The error wraps ErrRead or ErrNoFiles, or is an
// *InvalidError.
func Load(paths ...string) (*config.Config, error) {
	names, err := listFiles(paths)
	if err != nil {
		return nil, err
	}
	var files []File
	for _, name := range names {
		f, err := readFile(name)
		if err != nil {
			return nil, err
		}
		files = append(files, f)
	}
	return Parse(files)
}

func listFiles(paths []string) ([]string, error) {
	var names []string
	for _, path := range paths {
		info, err := os.Stat(path)
		if err != nil {
			return nil, errors.Wrap(ErrRead, err.Error())
		}
		if !info.IsDir() {
			names = append(names, path)
			continue
		}
		found, err := yamlFilesIn(path)
		if err != nil {
			return nil, err
		}
		names = append(names, found...)
	}
	slices.Sort(names)
	names = slices.Compact(names)
	if len(names) == 0 {
		return nil, errors.WithStack(ErrNoFiles)
	}
	return names, nil
}

func yamlFilesIn(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, errors.Wrap(ErrRead, err.Error())
	}
	var names []string
	for _, e := range entries {
		ext := filepath.Ext(e.Name())
		if !e.IsDir() && !strings.HasPrefix(e.Name(), ".") && (ext == ".yaml" || ext == ".yml") {
			names = append(names, filepath.Join(dir, e.Name()))
		}
	}
	return names, nil
}

func readFile(name string) (File, error) {
	info, err := os.Stat(name)
	if err != nil {
		return File{}, errors.Wrap(ErrRead, err.Error())
	}
	if info.Size() > MaxFileSize {
		return File{}, errors.Wrapf(ErrRead, "%s is larger than %d MiB", name, MaxFileSize>>20)
	}
	data, err := os.ReadFile(name)
	if err != nil {
		return File{}, errors.Wrap(ErrRead, err.Error())
	}
	return File{Name: name, Data: data}, nil
}
