package document

import (
	"errors"
	"fmt"
	"regexp"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"marjoramstack/pkg/result"
)

const (
	maxDocumentBytes = 256 << 10
	maxAlive         = 10000
	minAnswerBy      = 1 * time.Millisecond
	maxAnswerBy      = 60 * time.Second
	minFinishBy      = 1 * time.Second
)

var namePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

// ValidName reports whether name is a valid name of a service, zone, team or
// class: kebab-case, starting with a letter, at most 63 characters.
func ValidName(name string) bool { return namePattern.MatchString(name) }

// Parse parses and validates a document of at most 256 KiB. Errors are of type
// *result.Fault with code MalformedDocument or ContradictoryClass.
func Parse(text []byte) (*Document, error) {
	if len(text) > maxDocumentBytes {
		return nil, result.New(result.MalformedDocument, "document has %d bytes, expected at most %d", len(text), maxDocumentBytes)
	}
	c, err := decode(text)
	if err != nil {
		return nil, err
	}
	return c.doc, c.check()
}

// decode decodes a document. The YAML library panics at some malformed texts, such as the
// first one in TestOddDocument.
func decode(text []byte) (c checker, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = result.New(result.MalformedDocument, "the document can't be decoded: %v", cause)
		}
	}()
	c.tree, err = parser.ParseBytes(text, 0)
	if err != nil {
		return c, result.New(result.MalformedDocument, "%s", describeYAMLError(err))
	}
	if len(c.tree.Docs) != 1 || c.tree.Docs[0].Body == nil {
		return c, result.New(result.MalformedDocument, "line 1: expected exactly one YAML document")
	}
	c.doc = &Document{}
	if err := yaml.UnmarshalWithOptions(text, c.doc, yaml.Strict()); err != nil {
		return c, result.New(result.MalformedDocument, "%s", describeYAMLError(err))
	}
	return c, nil
}

func describeYAMLError(err error) string {
	var located yaml.Error
	if errors.As(err, &located) && located.GetToken() != nil {
		pos := located.GetToken().Position
		return fmt.Sprintf("line %d, column %d: field %s: %s", pos.Line, pos.Column, located.GetToken().Value, located.GetMessage())
	}
	return err.Error()
}

type checker struct {
	tree *ast.File
	doc  *Document
}

func (c checker) check() error {
	checks := []func() error{c.checkHeader, c.checkZones, c.checkTeams, c.checkClasses}
	for _, validate := range checks {
		if err := validate(); err != nil {
			return err
		}
	}
	return nil
}

func (c checker) checkHeader() error {
	if c.doc.Schema != Schema {
		return c.fault(result.MalformedDocument, "$.schema", "got %q, expected %q", c.doc.Schema, Schema)
	}
	if !ValidName(c.doc.Service) {
		return c.fault(result.MalformedDocument, "$.service", "got %q, expected a kebab-case name", c.doc.Service)
	}
	return nil
}

func (c checker) checkZones() error {
	if len(c.doc.Zones) == 0 {
		return c.fault(result.MalformedDocument, "$.zones", "expected at least one availability zone")
	}
	seen := map[string]bool{}
	for i, z := range c.doc.Zones {
		path := fmt.Sprintf("$.zones[%d]", i)
		if err := c.checkName(path, z, seen); err != nil {
			return err
		}
	}
	return nil
}

func (c checker) checkTeams() error {
	seen := map[string]bool{}
	for i, t := range c.doc.Teams {
		path := fmt.Sprintf("$.teams[%d]", i)
		if err := c.checkName(path+".name", t.Name, seen); err != nil {
			return err
		}
		if !t.Quota.Positive() {
			return c.fault(result.MalformedDocument, path+".quota", "expected processors and memory-mb above zero")
		}
	}
	return nil
}

func (c checker) checkClasses() error {
	if len(c.doc.Classes) == 0 {
		return c.fault(result.MalformedDocument, "$.classes", "expected at least one class")
	}
	seen := map[string]bool{}
	for i, class := range c.doc.Classes {
		path := fmt.Sprintf("$.classes[%d]", i)
		if err := c.checkName(path+".name", class.Name, seen); err != nil {
			return err
		}
		if err := c.checkClass(path, class); err != nil {
			return err
		}
	}
	return nil
}

func (c checker) checkName(path, name string, seen map[string]bool) error {
	if !ValidName(name) {
		return c.fault(result.MalformedDocument, path, "got %q, expected a kebab-case name", name)
	}
	if seen[name] {
		return c.fault(result.MalformedDocument, path, "%q is used twice, expected unique names", name)
	}
	seen[name] = true
	return nil
}

func (c checker) checkClass(path string, class Class) error {
	switch class.Kind {
	case KindInteractive:
		return c.checkInteractive(path, class)
	case KindBatch:
		return c.checkBatch(path, class)
	case KindWatcher:
		return c.checkWatcher(path, class)
	}
	return c.fault(result.MalformedDocument, path+".kind", "got %q, expected interactive, batch or watcher", class.Kind)
}

func (c checker) checkInteractive(path string, class Class) error {
	if class.FinishBy != "" || class.Alive != 0 || class.Size != nil || class.Team != "" {
		return c.fault(result.ContradictoryClass, path, "interactive class %q has a batch or watcher target, expected only answer-by", class.Name)
	}
	d, err := time.ParseDuration(class.AnswerBy)
	if err != nil || d < minAnswerBy || d > maxAnswerBy {
		return c.fault(result.MalformedDocument, path+".answer-by", "got %q, expected a duration from 1ms to 60s such as 300ms", class.AnswerBy)
	}
	return nil
}

func (c checker) checkBatch(path string, class Class) error {
	if class.AnswerBy != "" || class.Alive != 0 || class.Size != nil || class.Team != "" {
		return c.fault(result.ContradictoryClass, path, "batch class %q has a target of another kind, expected only finish-by", class.Name)
	}
	d, err := time.ParseDuration(class.FinishBy)
	if err != nil || d < minFinishBy {
		return c.fault(result.MalformedDocument, path+".finish-by", "got %q, expected a duration of at least 1s such as 6h", class.FinishBy)
	}
	return nil
}

func (c checker) checkWatcher(path string, class Class) error {
	if class.AnswerBy != "" || class.FinishBy != "" {
		return c.fault(result.ContradictoryClass, path, "watcher class %q has a target of another kind, expected alive, team and size", class.Name)
	}
	if class.Alive < 1 || class.Alive > maxAlive {
		return c.fault(result.MalformedDocument, path+".alive", "got %d, expected 1 to %d", class.Alive, maxAlive)
	}
	if class.Size == nil || !class.Size.Positive() {
		return c.fault(result.MalformedDocument, path+".size", "expected processors and memory-mb above zero")
	}
	team, ok := c.doc.Team(class.Team)
	if !ok {
		return c.fault(result.MalformedDocument, path+".team", "got %q, expected a team of this document", class.Team)
	}
	if !class.Size.Fits(team.Quota) {
		return c.fault(result.ContradictoryClass, path+".size", "one watcher exceeds the quota of team %q", class.Team)
	}
	return nil
}

// fault returns an error for the field at path. It gives the line of the field,
// or of its nearest ancestor that is present in the document.
func (c checker) fault(code result.Code, path, format string, args ...any) error {
	return result.New(code, "line %d: field %s: %s", c.line(path), path[2:], fmt.Sprintf(format, args...))
}

func (c checker) line(path string) int {
	for path != "$" {
		if n := c.lineOf(path); n > 0 {
			return n
		}
		path = parentPath(path)
	}
	return 1
}

func (c checker) lineOf(path string) int {
	p, err := yaml.PathString(path)
	if err != nil {
		return 0
	}
	node, err := p.FilterFile(c.tree)
	if err != nil || node == nil || node.GetToken() == nil {
		return 0
	}
	return node.GetToken().Position.Line
}

func parentPath(path string) string {
	for i := len(path) - 1; i > 0; i-- {
		if path[i] == '.' || path[i] == '[' {
			return path[:i]
		}
	}
	return "$"
}
