// Package configfile reads the configuration files that operators write.
//
// A file contains YAML documents separated by "---". Each document declares one
// item, whose type is given by the field kind. Decoding is strict: an unknown or
// duplicate field, a duplicate item, a reference to an item that does not exist or
// a rate out of range is an error with file and line. The kinds and fields are
// described in docs/CONFIGURATION.md.
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

// MaxFileSize is the maximum size of a file, in bytes.
const MaxFileSize = 16 << 20

var (
	// ErrRead means that a file or directory can't be read.
	ErrRead = errors.New("configuration can't be read")
	// ErrNoFiles means that there is no file to read.
	ErrNoFiles = errors.New("no configuration files")
)

// Problem is one error in a file.
type Problem struct {
	File string
	Line int // starting at 1
	Text string
}

// String formats the problem as "file:line: text".
func (p Problem) String() string { return fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.Text) }

// InvalidError lists the problems of the files, sorted by file and line.
type InvalidError struct{ Problems []Problem }

// Error implements error. It returns one line per problem.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// File is the content of a file and its name, as shown in error messages.
type File struct {
	Name string
	Data []byte
}

// Load reads one configuration from the given files, and from the files in the given
// directories that end in .yaml or .yml. The error wraps ErrRead or ErrNoFiles, or is
// an *InvalidError.
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

// listFiles replaces directories by the YAML files in them and returns the file names
// sorted, without duplicates.
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

// yamlFilesIn returns the YAML files in dir, except hidden ones.
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
