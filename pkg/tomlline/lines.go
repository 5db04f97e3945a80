// Package tomlline locates the lines on which the keys of a TOML document are declared.
package tomlline

import (
	"bytes"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Lines maps the path of a key to the line of its first declaration, counted from 1.
type Lines map[string]int

// Find returns the line of a path. For a path that is not declared, such as an omitted field, it
// returns the line of the closest enclosing table, or 0 without one.
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

// Index returns the lines of all keys of a TOML document, which must be syntactically valid. Keys
// within inline tables are not listed; Find returns the line of the enclosing key for them.
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

// add records the line of a path and of the tables that it declares implicitly, unless they have
// one.
func (l Lines) add(path []string, line int) {
	for n := 1; n <= len(path); n++ {
		key := joinPath(path[:n])
		if _, ok := l[key]; !ok {
			l[key] = line
		}
	}
}

// readKey returns the parts of the key of an expression and the byte offset of the first part.
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

// lineCounter converts ascending byte offsets to line numbers in a single pass over the text.
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
