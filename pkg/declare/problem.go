package declare

import (
	"fmt"
	"sort"
	"strings"
)

// Problem is one reason for which a declaration is refused.
type Problem struct {
	// File and Line tell where the value was declared; Line counts from 1. Both
	// are empty for objects that did not come from a file.
	File string `json:"file,omitempty"`
	Line int    `json:"line,omitempty"`
	Kind string `json:"kind,omitempty"`
	Name string `json:"name,omitempty"`
	// Field is the name of the spec's field; empty when the whole object is meant.
	Field  string `json:"field,omitempty"`
	Reason string `json:"reason"`
}

// Error implements error. The form is "file:line: kind/name.field: reason".
func (p Problem) Error() string {
	parts := []string{}
	if p.File != "" {
		parts = append(parts, p.position())
	}
	if p.Kind != "" {
		parts = append(parts, p.path())
	}
	return strings.Join(append(parts, p.Reason), ": ")
}

func (p Problem) position() string {
	if p.Line == 0 {
		return p.File
	}
	return fmt.Sprintf("%s:%d", p.File, p.Line)
}

func (p Problem) path() string {
	path := p.Kind
	if p.Name != "" {
		path += "/" + p.Name
	}
	if p.Field != "" {
		path += "." + p.Field
	}
	return path
}

// Problems is a list of problems that serves as one error.
type Problems []Problem

// Error implements error, with one problem on each line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.Error()
	}
	return strings.Join(lines, "\n")
}

// asError returns nil when there are no problems, and else the sorted list.
func (p Problems) asError() error {
	if len(p) == 0 {
		return nil
	}
	p.sort()
	return p
}

func (p Problems) sort() {
	sort.SliceStable(p, func(i, j int) bool {
		a, b := p[i], p[j]
		if a.File != b.File {
			return a.File < b.File
		}
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		return a.path() < b.path()
	})
}
