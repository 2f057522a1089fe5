package configfile

import (
	"bytes"
	"cmp"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strconv"

	"gopkg.in/yaml.v3"

	"oleanderdale.org/core/config"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/version"
)

// Parse reads one configuration, without a version, from all files together. The
// error is an *InvalidError. References between items are checked only if every
// document is valid by itself. Otherwise one misspelt field would be reported as many
// dangling references.
func Parse(files []File) (*config.Config, error) {
	p := &parser{
		config: &config.Config{
			Groups:    make(map[id.Group]config.Group),
			Artifacts: make(map[id.Artifact]config.Artifact),
			Services:  make(map[id.Service]config.Service),
			Accounts:  make(map[id.Account]config.Account),
			Keys:      make(map[id.Digest]config.Key),
			Approvals: make(map[config.Approval]struct{}),
		},
		positions: make(map[item]position),
	}
	for _, f := range files {
		p.parseFile(f)
	}
	if len(p.problems) == 0 {
		p.requireFleet(files)
	}
	if len(p.problems) == 0 {
		p.setAdapterGroups()
		p.validate()
		p.checkOwners()
	}
	if len(p.problems) > 0 {
		slices.SortStableFunc(p.problems, func(a, b Problem) int {
			return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line))
		})
		return nil, &InvalidError{Problems: slices.Compact(p.problems)}
	}
	return p.config, nil
}

// item identifies a declared item.
type item struct {
	kind version.Kind
	name string
}

// position is the position of an item in the files.
type position struct {
	file       string
	line       int
	fieldLines map[string]int // line of each field, by its name
}

// lineOf returns the line of a field, or of the item if it does not have the field.
func (p position) lineOf(field string) int {
	if line, ok := p.fieldLines[field]; ok {
		return line
	}
	return p.line
}

// ownerCheck is an approval whose owner is checked after all groups have been read.
type ownerCheck struct {
	approval config.Approval
	owner    string
	position position
}

// parser collects the items and problems of all files.
type parser struct {
	config      *config.Config
	positions   map[item]position
	ownerChecks []ownerCheck
	problems    []Problem
}

// addProblem records a problem. Lines start at 1.
func (p *parser) addProblem(file string, line int, format string, args ...any) {
	p.problems = append(p.problems, Problem{File: file, Line: max(line, 1), Text: fmt.Sprintf(format, args...)})
}

// parseFile reads the documents of one file. The YAML library panics on some
// malformed input. Such a panic is recovered and recorded as a problem of the file,
// which is safe because nothing outside the parser is modified before Parse returns.
func (p *parser) parseFile(f File) {
	defer func() {
		if r := recover(); r != nil {
			p.addProblem(f.Name, 1, "the file is not readable as YAML")
		}
	}()
	d := yaml.NewDecoder(bytes.NewReader(f.Data))
	for {
		var doc yaml.Node
		err := d.Decode(&doc)
		if err == io.EOF {
			return
		}
		if err != nil {
			line, text := yamlError(err, f.Data)
			p.addProblem(f.Name, line, "%s", text)
			return
		}
		p.parseDocument(f.Name, &doc)
	}
}

var (
	yamlErrorPattern     = regexp.MustCompile(`^yaml: (?:line (\d+): )?(.*)$`)
	unknownAnchorPattern = regexp.MustCompile(`^unknown anchor '(.*)' referenced$`)
)

// yamlError splits an error of the YAML library into line and text. For an unclosed
// block the library gives the line where the block begins. For an unknown anchor it
// gives no line, so the line of the first reference is searched for.
func yamlError(err error, data []byte) (line int, text string) {
	m := yamlErrorPattern.FindStringSubmatch(err.Error())
	if m == nil {
		return 1, "the file is not readable as YAML"
	}
	if anchor := unknownAnchorPattern.FindStringSubmatch(m[2]); anchor != nil {
		before, _, _ := bytes.Cut(data, []byte("*"+anchor[1]))
		return 1 + bytes.Count(before, []byte("\n")), m[2]
	}
	line, _ = strconv.Atoi(m[1])
	return line, m[2]
}

// parseDocument reads one document and rejects unknown fields.
func (p *parser) parseDocument(file string, doc *yaml.Node) {
	if len(doc.Content) == 0 || isNull(doc.Content[0]) {
		return // empty, or only comments
	}
	root := doc.Content[0]
	if root.Kind != yaml.MappingNode {
		p.addProblem(file, root.Line, "a document must be a mapping of fields")
		return
	}
	f := newFields(p, file, root)
	kind := version.Kind(f.text("kind"))
	read, ok := documentParsers[kind]
	if !ok {
		if kind != "" {
			p.addProblem(file, f.position.lineOf("kind"), "unknown kind %q", kind)
		}
		return
	}
	read(p, f)
	f.rejectUnknown()
}

func isNull(n *yaml.Node) bool { return n.Kind == yaml.ScalarNode && n.Tag == "!!null" }

// declare records the position of an item. It reports false, and records a problem,
// if an item of the same kind and name has been declared before. The problem leaves
// out the name of a key, which may be a key that was written in place of its digest.
func (p *parser) declare(k version.Kind, name string, f *fields) bool {
	it := item{kind: k, name: name}
	if first, ok := p.positions[it]; ok {
		label := string(k)
		if k != version.KindKey && name != "" {
			label += fmt.Sprintf(" %q", name)
		}
		p.addProblem(f.file, f.position.line, "%s is declared twice, first at %s:%d", label, first.file, first.line)
		return false
	}
	p.positions[it] = f.position
	return true
}

// requireFleet records a problem if no document of kind fleet has been read.
func (p *parser) requireFleet(files []File) {
	if _, ok := p.positions[item{kind: version.KindFleet}]; ok {
		return
	}
	name := "configuration"
	if len(files) > 0 {
		name = files[0].Name
	}
	p.addProblem(name, 1, "no document of kind fleet")
}

// setAdapterGroups sets the group of each adapter to the group of its model.
func (p *parser) setAdapterGroups() {
	for name, a := range p.config.Artifacts {
		if name.IsAdapter() {
			a.Group = p.config.Artifacts[name.Model()].Group
			p.config.Artifacts[name] = a
		}
	}
}

// validate records the problems of the configuration as a whole.
func (p *parser) validate() {
	for _, v := range version.Validate(p.config) {
		position := p.positions[item{kind: v.Kind, name: v.Name}]
		p.addProblem(position.file, position.lineOf(v.Field), "%s", v)
	}
}

// checkOwners checks that each approval names the owner of the group as its owner.
// Otherwise a team could approve calls to the backend servers of another team.
func (p *parser) checkOwners() {
	for _, check := range p.ownerChecks {
		group, ok := p.groupOf(check.approval)
		if !ok || group.Owner == check.owner {
			continue
		}
		p.addProblem(check.position.file, check.position.lineOf("owner"), "approval %s: group %s is owned by %q, not by %q",
			version.ApprovalName(check.approval), group.Name, group.Owner, check.owner)
	}
}

// groupOf returns the group of the model or service that is approved.
func (p *parser) groupOf(a config.Approval) (config.Group, bool) {
	name := p.config.Services[a.Service].Group
	if a.Model != "" {
		name = p.config.Artifacts[a.Model].Group
	}
	g, ok := p.config.Groups[name]
	return g, ok
}
