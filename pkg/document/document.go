// Package document defines the configuration document with which operators
// control marjoramstack, and the jobs that users submit.
//
// A document names the service, its availability zones, its teams with their
// quotas, and its classes of work. Each class has a target: an interactive
// class sets the maximum response time, a batch class the maximum time to
// finish a job, and a watcher class the number of instances to keep running.
// A document contains no weights, priorities or placements; the system derives
// them from the targets.
//
// The format is YAML with kebab-case names. Parsing is strict: an unknown
// field, a wrong unit or a contradiction rejects the whole document with an
// error that gives the line, the field and the expected value.
//
// # Usage
//
//	doc, err := document.Parse(text)
//	if err != nil { /* a *result.Fault; its detail gives the line and the field */ }
//	class, ok := doc.Class("quote")
//
// An example document:
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

// Schema is the document schema version that this package supports.
const Schema = "marjoram/v1"

// Kind is the kind of a class. It determines which target the class has.
type Kind string

// The kinds of classes.
const (
	KindInteractive Kind = "interactive"
	KindBatch       Kind = "batch"
	KindWatcher     Kind = "watcher"
)

// Size is an amount of each resource. In configuration documents and jobs it
// is in whole processors, mebibytes of memory and whole accelerators. In a Step
// of a StagedJob, processors are in thousandths.
type Size struct {
	Processors   int `yaml:"processors" json:"processors"`
	Memory       int `yaml:"memory-mb" json:"memory-mb"`
	Accelerators int `yaml:"accelerators,omitempty" json:"accelerators,omitempty"`
}

// Plus returns s + o, resource by resource.
func (s Size) Plus(o Size) Size {
	return Size{
		Processors:   s.Processors + o.Processors,
		Memory:       s.Memory + o.Memory,
		Accelerators: s.Accelerators + o.Accelerators,
	}
}

// Minus returns s - o, resource by resource. The result can be negative.
func (s Size) Minus(o Size) Size {
	return Size{
		Processors:   s.Processors - o.Processors,
		Memory:       s.Memory - o.Memory,
		Accelerators: s.Accelerators - o.Accelerators,
	}
}

// Times returns s multiplied by n, resource by resource.
func (s Size) Times(n int) Size {
	return Size{
		Processors:   s.Processors * n,
		Memory:       s.Memory * n,
		Accelerators: s.Accelerators * n,
	}
}

// Fits reports whether s does not exceed available in any resource.
func (s Size) Fits(available Size) bool {
	return s.Processors <= available.Processors && s.Memory <= available.Memory && s.Accelerators <= available.Accelerators
}

// Positive reports whether s has more than zero processors and memory and no
// negative number of accelerators.
func (s Size) Positive() bool {
	return s.Processors > 0 && s.Memory > 0 && s.Accelerators >= 0
}

// Class is a class of work with its target: AnswerBy for an interactive class,
// FinishBy for a batch class, and Alive, Team and Size for a watcher class.
type Class struct {
	Name     string `yaml:"name" json:"name"`
	Kind     Kind   `yaml:"kind" json:"kind"`
	AnswerBy string `yaml:"answer-by,omitempty" json:"answer-by,omitempty"`
	FinishBy string `yaml:"finish-by,omitempty" json:"finish-by,omitempty"`
	Alive    int    `yaml:"alive,omitempty" json:"alive,omitempty"`
	Team     string `yaml:"team,omitempty" json:"team,omitempty"`
	Size     *Size  `yaml:"size,omitempty" json:"size,omitempty"`
}

// Target returns the maximum response time of an interactive class or the
// maximum time to finish a job of a batch class. It returns 0 for a watcher
// class, and if the time cannot be parsed.
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

// Team is an owner of batch jobs and watchers. Quota limits the total size of
// its running tasks.
type Team struct {
	Name  string `yaml:"name" json:"name"`
	Quota Size   `yaml:"quota" json:"quota"`
}

// Document is a parsed configuration document.
type Document struct {
	Schema  string   `yaml:"schema" json:"schema"`
	Service string   `yaml:"service" json:"service"`
	Zones   []string `yaml:"zones" json:"zones"`
	Teams   []Team   `yaml:"teams,omitempty" json:"teams,omitempty"`
	Classes []Class  `yaml:"classes" json:"classes"`
}

// Class returns the class with the given name and whether it exists.
func (d *Document) Class(name string) (Class, bool) {
	for _, c := range d.Classes {
		if c.Name == name {
			return c, true
		}
	}
	return Class{}, false
}

// Team returns the team with the given name and whether it exists.
func (d *Document) Team(name string) (Team, bool) {
	for _, t := range d.Teams {
		if t.Name == name {
			return t, true
		}
	}
	return Team{}, false
}

// HasZone reports whether the document lists the availability zone.
func (d *Document) HasZone(name string) bool {
	for _, z := range d.Zones {
		if z == name {
			return true
		}
	}
	return false
}

// LongestAnswer returns the largest answer-by of the interactive classes, or 0
// if there are none.
func (d *Document) LongestAnswer() clock.Span {
	var longest clock.Span
	for _, c := range d.Classes {
		if c.Kind == KindInteractive {
			longest = max(longest, c.Target())
		}
	}
	return longest
}
