// Package document defines the class and target document, the one file with
// which operators steer marjoramstack.
//
// A document names the service, its availability zones, its teams with their
// quotas and its classes of work with a target each: an interactive class says
// how late an answer may be, a batch class how soon a run must finish, a
// watcher class how many must stay alive. Weights, priorities and placements
// are never stated; the system works them out.
//
// The form is YAML with kebab-case names. Reading is strict: an unknown field,
// a wrong unit or a contradiction refuses the whole document with the line,
// the field and what was expected.
//
// # Usage
//
//	doc, err := document.Parse(text)
//	if err != nil { /* a *result.Fault; its detail names line and field */ }
//	class, ok := doc.Class("quote")
//
// A document:
//
//	schema: marjoram/v1
//	service: ring-desk
//	zones: [press, lab, office]
//	teams:
//	  - name: compounds
//	    quota: {processors: 640, memory-mb: 2000000, accelerators: 0}
//	classes:
//	  - name: quote
//	    kind: interactive
//	    answer-by: 300ms
//	  - name: cure-test
//	    kind: batch
//	    finish-by: 6h
//	  - name: hold-space
//	    kind: watcher
//	    alive: 3
//	    team: compounds
//	    size: {processors: 1, memory-mb: 512}
package document

import (
	"time"

	"marjoramstack/pkg/clock"
)

// Schema is the version of the document's form that this package reads.
const Schema = "marjoram/v1"

// Kind says which target a class states.
type Kind string

// Kinds of classes.
const (
	KindInteractive Kind = "interactive"
	KindBatch       Kind = "batch"
	KindWatcher     Kind = "watcher"
)

// Size is an amount of each resource: whole processors, mebibytes of memory,
// whole accelerators.
type Size struct {
	Processors   int `yaml:"processors" json:"processors"`
	Memory       int `yaml:"memory-mb" json:"memory-mb"`
	Accelerators int `yaml:"accelerators,omitempty" json:"accelerators,omitempty"`
}

// Plus returns the sum of two sizes.
func (s Size) Plus(o Size) Size {
	return Size{
		Processors:   s.Processors + o.Processors,
		Memory:       s.Memory + o.Memory,
		Accelerators: s.Accelerators + o.Accelerators,
	}
}

// Minus returns the difference of two sizes.
func (s Size) Minus(o Size) Size {
	return Size{
		Processors:   s.Processors - o.Processors,
		Memory:       s.Memory - o.Memory,
		Accelerators: s.Accelerators - o.Accelerators,
	}
}

// Times returns n times the size.
func (s Size) Times(n int) Size {
	return Size{
		Processors:   s.Processors * n,
		Memory:       s.Memory * n,
		Accelerators: s.Accelerators * n,
	}
}

// Fits reports whether s is at most room in every resource.
func (s Size) Fits(room Size) bool {
	return s.Processors <= room.Processors && s.Memory <= room.Memory && s.Accelerators <= room.Accelerators
}

// Positive reports whether s asks for processors and memory and for nothing
// negative.
func (s Size) Positive() bool {
	return s.Processors > 0 && s.Memory > 0 && s.Accelerators >= 0
}

// Class is a class of work with its target.
type Class struct {
	Name     string `yaml:"name" json:"name"`
	Kind     Kind   `yaml:"kind" json:"kind"`
	AnswerBy string `yaml:"answer-by,omitempty" json:"answer-by,omitempty"`
	FinishBy string `yaml:"finish-by,omitempty" json:"finish-by,omitempty"`
	Alive    int    `yaml:"alive,omitempty" json:"alive,omitempty"`
	Team     string `yaml:"team,omitempty" json:"team,omitempty"`
	Size     *Size  `yaml:"size,omitempty" json:"size,omitempty"`
}

// Target returns the span within which an answer must come or a run must
// finish; 0 for a watcher class.
func (c Class) Target() clock.Span {
	text := c.AnswerBy
	if c.Kind == KindBatch {
		text = c.FinishBy
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0
	}
	return clock.FromDuration(d)
}

// Team owns work and has a quota of running work.
type Team struct {
	Name  string `yaml:"name" json:"name"`
	Quota Size   `yaml:"quota" json:"quota"`
}

// Document is a class and target document.
type Document struct {
	Schema  string   `yaml:"schema" json:"schema"`
	Service string   `yaml:"service" json:"service"`
	Zones   []string `yaml:"zones" json:"zones"`
	Teams   []Team   `yaml:"teams,omitempty" json:"teams,omitempty"`
	Classes []Class  `yaml:"classes" json:"classes"`
}

// Class returns the class with the name.
func (d *Document) Class(name string) (Class, bool) {
	for _, c := range d.Classes {
		if c.Name == name {
			return c, true
		}
	}
	return Class{}, false
}

// Team returns the team with the name.
func (d *Document) Team(name string) (Team, bool) {
	for _, t := range d.Teams {
		if t.Name == name {
			return t, true
		}
	}
	return Team{}, false
}

// HasZone reports whether the availability zone is listed.
func (d *Document) HasZone(name string) bool {
	for _, z := range d.Zones {
		if z == name {
			return true
		}
	}
	return false
}

// LongestAnswer returns the largest answer-by of all classes.
func (d *Document) LongestAnswer() clock.Span {
	var longest clock.Span
	for _, c := range d.Classes {
		if c.Kind == KindInteractive {
			longest = max(longest, c.Target())
		}
	}
	return longest
}
