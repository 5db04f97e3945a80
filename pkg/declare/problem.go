package declare

import (
	"fmt"
	"sort"
	"strings"
)

// Problem is one reason to reject a declaration.
type Problem struct {
	// File and Line locate the declared value. Line counts from 1 and is 0 if it cannot be
	// determined. Both are empty for objects that do not come from a file.
	File string `json:"file,omitempty"`
	Line int    `json:"line,omitempty"`
	Kind string `json:"kind,omitempty"`
	Name string `json:"name,omitempty"`
	// Field is the name of the spec's field; empty if the problem concerns the whole object.
	Field  string `json:"field,omitempty"`
	Reason string `json:"reason"`
}

// Error formats the problem as "file:line: kind/name.field: reason".
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

// Problems is a list of problems that implements error.
type Problems []Problem

// Error formats the problems one per line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.Error()
	}
	return strings.Join(lines, "\n")
}

// asError returns nil if the list is empty, and otherwise the sorted list.
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
