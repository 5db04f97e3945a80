package settings

import (
	"fmt"
	"sort"
	"strings"
)

// Problem is one reason for which a settings file is rejected.
type Problem struct {
	File string
	// Line counts from 1; 0 means that the key is not in the file.
	Line int
	// Key is the full key, for example "peers.listen".
	Key    string
	Reason string
}

// Error implements error. The format is "file:line: key: reason".
func (p Problem) Error() string {
	text := p.File
	if p.Line > 0 {
		text += fmt.Sprintf(":%d", p.Line)
	}
	if p.Key != "" {
		text += ": " + p.Key
	}
	return text + ": " + p.Reason
}

// Problems is an error that consists of one or more problems.
type Problems []Problem

// Error implements error, with one problem on each line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.Error()
	}
	return strings.Join(lines, "\n")
}

// asError returns the problems ordered by line, or nil if there are none.
func (p Problems) asError() error {
	if len(p) == 0 {
		return nil
	}
	sort.SliceStable(p, func(i, j int) bool { return p[i].Line < p[j].Line })
	return p
}
