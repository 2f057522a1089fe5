package configfile

import (
	"math"
	"strconv"
	"strings"
	"time"

	"gopkg.in/yaml.v3"
)

// fields is one mapping of a document. Each method that reads a field records a
// problem at the line of the field and returns the zero value if the field is invalid.
type fields struct {
	parser   *parser
	file     string
	position position
	names    []string // in the order in the file
	values   map[string]*yaml.Node
	consumed map[string]bool // fields that have been read
}

func newFields(p *parser, file string, n *yaml.Node) *fields {
	f := &fields{
		parser:   p,
		file:     file,
		position: position{file: file, line: n.Line, fieldLines: make(map[string]int)},
		values:   make(map[string]*yaml.Node),
		consumed: make(map[string]bool),
	}
	for i := 0; i+1 < len(n.Content); i += 2 {
		f.add(n.Content[i], n.Content[i+1])
	}
	return f
}

// add records a field, or a problem if its name is invalid or a duplicate.
func (f *fields) add(name, value *yaml.Node) {
	if name.Kind != yaml.ScalarNode {
		f.parser.addProblem(f.file, name.Line, "the name of a field must be plain text")
		return
	}
	if first, ok := f.position.fieldLines[name.Value]; ok {
		f.parser.addProblem(f.file, name.Line, "duplicate field %q, first on line %d", name.Value, first)
		return
	}
	f.position.fieldLines[name.Value] = name.Line
	f.names = append(f.names, name.Value)
	f.values[name.Value] = value
}

// rejectUnknown records a problem for each field that has not been read.
func (f *fields) rejectUnknown() {
	for _, name := range f.names {
		if !f.consumed[name] {
			f.parser.addProblem(f.file, f.position.fieldLines[name], "unknown field %q", name)
		}
	}
}

// addProblem records a problem at the line of the named field.
func (f *fields) addProblem(name, format string, args ...any) {
	f.parser.addProblem(f.file, f.position.lineOf(name), format, args...)
}

// optional returns the value of a field, or nil if the field is absent.
func (f *fields) optional(name string) *yaml.Node {
	f.consumed[name] = true
	return f.values[name]
}

// required returns the value of a field. It records a problem if the field is absent.
func (f *fields) required(name string) *yaml.Node {
	n := f.optional(name)
	if n == nil {
		f.addProblem(name, "field %q is missing", name)
	}
	return n
}

// scalar returns the text of n if it is a scalar with one of the YAML tags. want
// describes the expected value in the problem that is recorded otherwise.
func (f *fields) scalar(name string, n *yaml.Node, want string, tags ...string) (string, bool) {
	if n == nil {
		return "", false
	}
	if n.Kind == yaml.ScalarNode {
		for _, t := range tags {
			if n.Tag == t {
				return n.Value, true
			}
		}
	}
	f.addProblem(name, "field %q must be %s", name, want)
	return "", false
}

func (f *fields) parseText(name string, n *yaml.Node) string {
	s, ok := f.scalar(name, n, "text (put numbers and dates in quotes)", "!!str")
	if ok && s == "" {
		f.addProblem(name, "field %q must not be empty", name)
	}
	return s
}

func (f *fields) text(name string) string { return f.parseText(name, f.required(name)) }

func (f *fields) optionalText(name string) string { return f.parseText(name, f.optional(name)) }

func (f *fields) textList(name string) []string { return f.parseTextList(name, f.required(name)) }

func (f *fields) optionalTextList(name string) []string {
	return f.parseTextList(name, f.optional(name))
}

func (f *fields) parseTextList(name string, n *yaml.Node) []string {
	if n == nil {
		return nil
	}
	if n.Kind != yaml.SequenceNode {
		f.addProblem(name, "field %q must be a list", name)
		return nil
	}
	var list []string
	for _, c := range n.Content {
		list = append(list, f.parseText(name, c))
	}
	return list
}

func (f *fields) parseBool(name string, n *yaml.Node) bool {
	s, _ := f.scalar(name, n, "true or false", "!!bool")
	return strings.EqualFold(s, "true")
}

func (f *fields) boolean(name string) bool { return f.parseBool(name, f.required(name)) }

func (f *fields) optionalBoolean(name string) bool { return f.parseBool(name, f.optional(name)) }

func (f *fields) integer(name string) int {
	s, ok := f.scalar(name, f.required(name), "a whole number", "!!int")
	if !ok {
		return 0
	}
	n, err := strconv.ParseInt(s, 10, 32)
	if err != nil {
		f.addProblem(name, "field %q must be a whole decimal number below 2^31", name)
	}
	return int(n)
}

func (f *fields) number(name string) float64 {
	s, ok := f.scalar(name, f.required(name), "a number", "!!int", "!!float")
	if !ok {
		return 0
	}
	x, err := strconv.ParseFloat(s, 64)
	if err != nil || math.IsInf(x, 0) || math.IsNaN(x) {
		f.addProblem(name, "field %q must be a finite decimal number", name)
		return 0
	}
	return x
}

func (f *fields) duration(name string) time.Duration {
	s, ok := f.scalar(name, f.required(name), `a duration such as "20s"`, "!!str")
	if !ok {
		return 0
	}
	d, err := time.ParseDuration(s)
	if err != nil {
		f.addProblem(name, `field %q must be a duration such as "20s" or "1m30s"`, name)
	}
	return d
}

// sizeUnits lists the units of sizes. "B" comes last because the others end in it.
var sizeUnits = []struct {
	suffix string
	bytes  float64
}{
	{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"TiB", 1 << 40}, {"B", 1},
}

func (f *fields) size(name string) int64 {
	s, ok := f.scalar(name, f.required(name), `a size such as "12GiB"`, "!!str")
	if !ok {
		return 0
	}
	n, ok := parseSize(s)
	if !ok {
		f.addProblem(name, `field %q must be a size such as "12GiB" (B, KiB, MiB, GiB or TiB)`, name)
	}
	return n
}

// parseSize parses a size such as "12GiB" and reports whether it is valid.
func parseSize(s string) (int64, bool) {
	for _, u := range sizeUnits {
		digits, ok := strings.CutSuffix(s, u.suffix)
		if !ok {
			continue
		}
		x, err := strconv.ParseFloat(strings.TrimSpace(digits), 64)
		x *= u.bytes
		if err != nil || math.IsNaN(x) || x < 0 || x >= math.MaxInt64 {
			return 0, false
		}
		return int64(x), true
	}
	return 0, false
}

// optionalFields returns the fields of a nested mapping, or nil if it is absent.
func (f *fields) optionalFields(name string) *fields {
	n := f.optional(name)
	if n == nil {
		return nil
	}
	if n.Kind != yaml.MappingNode {
		f.addProblem(name, "field %q must be a mapping", name)
		return nil
	}
	return newFields(f.parser, f.file, n)
}
