// Package tomlline finds the lines at which the keys of a TOML document stand.
package tomlline

import (
	"bytes"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Lines maps the path of a key to the line where it is declared first.
type Lines map[string]int

// Find returns the line of a path. When the path has no line of its own, for
// example a field that was left out, it returns that of the enclosing table.
func (l Lines) Find(path ...string) int {
	for n := len(path); n > 0; n-- {
		line, ok := l[joinPath(path[:n])]
		if ok {
			return line
		}
	}
	return 0
}

// Has reports whether a path is declared.
func (l Lines) Has(path ...string) bool {
	_, ok := l[joinPath(path)]
	return ok
}

func joinPath(path []string) string {
	return strings.Join(path, "\x00")
}

// Index reads the lines of all keys of a TOML document that is known to
// be correct. Keys within inline tables take the line of the enclosing key.
func Index(text []byte) Lines {
	index := Lines{}
	lines := lineCounter{text: text, line: 1}
	parser := unstable.Parser{}
	parser.Reset(text)
	table := []string{}
	for parser.NextExpression() {
		expression := parser.Expression()
		keys, offset := readKey(expression)
		path := append(append([]string{}, table...), keys...)
		if expression.Kind != unstable.KeyValue {
			table, path = keys, keys
		}
		index.add(path, lines.lineAt(offset))
	}
	return index
}

// add notes the line for a path and for the tables that it declares implicitly.
func (l Lines) add(path []string, line int) {
	for n := 1; n <= len(path); n++ {
		key := joinPath(path[:n])
		if _, ok := l[key]; !ok {
			l[key] = line
		}
	}
}

func readKey(expression *unstable.Node) (keys []string, offset int) {
	parts := expression.Key()
	for parts.Next() {
		node := parts.Node()
		if len(keys) == 0 {
			offset = int(node.Raw.Offset)
		}
		keys = append(keys, string(node.Data))
	}
	return keys, offset
}

// lineCounter counts lines up to rising offsets, so that a file is read once.
type lineCounter struct {
	text   []byte
	offset int
	line   int
}

func (c *lineCounter) lineAt(offset int) int {
	if offset > c.offset {
		c.line += bytes.Count(c.text[c.offset:offset], []byte("\n"))
		c.offset = offset
	}
	return c.line
}
