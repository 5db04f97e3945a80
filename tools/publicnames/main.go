// Command publicnames lists the names that leave a process: keys of encoded fields, schema names and enum values, flags,
// environment variables, settings keys, headers, paths, metric and span names, labels, log fields and reasons.
//
//	go run ./publicnames TREE
//
// Struct tags, schemas and deploy/system.toml give the declared names. All other names are the one-word string literals of
// the code outside tests that are not the text of an error or a log line. Two trees with equal lists use equal names.
package main

import (
	"encoding/json"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

var (
	tagPattern = regexp.MustCompile(`(\w+):"((?:[^"\\]|\\.)*)"`)
	keyPattern = regexp.MustCompile(`^\s*(?:\[+([\w.-]+)\]+|([\w.-]+)\s*=)`)

	// nameTags are the struct tags whose values are names; descriptions are texts.
	nameTags = []string{"toml", "json", "msg", "long", "short", "env", "default", "choice", "command", "value-name", "positional-arg-name", "group", "namespace"}

	// textCalls are the functions whose string arguments are texts for people.
	textCalls = []string{"New", "Errorf", "Wrap", "Wrapf", "WithMessage", "WithMessagef", "Msg", "Msgf", "panic", "Fatal", "Fatalf"}
)

func main() {
	if len(os.Args) != 2 {
		fail(fmt.Errorf("usage: publicnames TREE"))
	}
	names, err := collect(os.Args[1])
	if err != nil {
		fail(err)
	}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		fmt.Println(name)
	}
}

func fail(err error) {
	fmt.Fprintln(os.Stderr, "publicnames:", err)
	os.Exit(1)
}

// collect returns the names of all sources below tree, each behind its kind.
func collect(tree string) (map[string]bool, error) {
	names := map[string]bool{}
	err := filepath.WalkDir(tree, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() {
			if slices.Contains([]string{".git", "bin", "journal", "tmp", "tools"}, entry.Name()) {
				return filepath.SkipDir
			}
			return nil
		}
		relative, err := filepath.Rel(tree, path)
		if err != nil {
			return err
		}
		switch {
		case strings.HasSuffix(path, "_test.go"):
			return nil
		case strings.HasSuffix(path, ".go"):
			return addSource(names, path)
		case filepath.Dir(relative) == "schema" && strings.HasSuffix(path, ".json"):
			return addSchema(names, path)
		case relative == filepath.FromSlash("deploy/system.toml"):
			return addSettings(names, path)
		}
		return nil
	})
	return names, err
}

func addSource(names map[string]bool, path string) error {
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
	if err != nil {
		return err
	}
	texts := map[*ast.BasicLit]bool{}
	ast.Inspect(file, func(node ast.Node) bool {
		switch node := node.(type) {
		case *ast.ImportSpec:
			return false
		case *ast.Field:
			if node.Tag != nil {
				texts[node.Tag] = true
				addTag(names, node.Tag.Value)
			}
		case *ast.StructType:
			addUntagged(names, node)
		case *ast.CallExpr:
			if slices.Contains(textCalls, calledName(node)) {
				markTexts(texts, node)
			}
		case *ast.BasicLit:
			addLiteral(names, texts, node)
		}
		return true
	})
	return nil
}

func calledName(call *ast.CallExpr) string {
	switch function := call.Fun.(type) {
	case *ast.Ident:
		return function.Name
	case *ast.SelectorExpr:
		return function.Sel.Name
	}
	return ""
}

// markTexts marks the literals among a call's own arguments; those of nested calls are judged by the nested call.
func markTexts(texts map[*ast.BasicLit]bool, call *ast.CallExpr) {
	for _, argument := range call.Args {
		if literal, ok := argument.(*ast.BasicLit); ok {
			texts[literal] = true
		}
	}
}

func addTag(names map[string]bool, literal string) {
	tag, err := strconv.Unquote(literal)
	if err != nil {
		return
	}
	for _, match := range tagPattern.FindAllStringSubmatch(tag, -1) {
		if slices.Contains(nameTags, match[1]) {
			names["tag "+match[1]+" "+match[2]] = true
		}
	}
}

// addUntagged adds the exported fields without a tag of structs that have tags: encoders use their Go names.
func addUntagged(names map[string]bool, structure *ast.StructType) {
	tagged := slices.ContainsFunc(structure.Fields.List, func(field *ast.Field) bool { return field.Tag != nil })
	if !tagged {
		return
	}
	for _, field := range structure.Fields.List {
		for _, name := range field.Names {
			if field.Tag == nil && name.IsExported() {
				names["field "+name.Name] = true
			}
		}
	}
}

func addLiteral(names map[string]bool, texts map[*ast.BasicLit]bool, literal *ast.BasicLit) {
	if literal.Kind != token.STRING || texts[literal] {
		return
	}
	value, err := strconv.Unquote(literal.Value)
	if err != nil || !strings.ContainsFunc(value, isLetter) || strings.ContainsAny(value, " \n\t") {
		return
	}
	names["string "+value] = true
}

func isLetter(r rune) bool {
	return r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
}

func addSchema(names map[string]bool, path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	var schema any
	if err := json.Unmarshal(data, &schema); err != nil {
		return err
	}
	addSchemaNode(names, schema)
	return nil
}

func addSchemaNode(names map[string]bool, node any) {
	switch node := node.(type) {
	case map[string]any:
		for key, value := range node {
			addSchemaNames(names, key, value)
			addSchemaNode(names, value)
		}
	case []any:
		for _, value := range node {
			addSchemaNode(names, value)
		}
	}
}

func addSchemaNames(names map[string]bool, key string, value any) {
	switch key {
	case "properties", "$defs":
		if declared, ok := value.(map[string]any); ok {
			for name := range declared {
				names["schema "+name] = true
			}
		}
	case "enum", "const", "default":
		names[fmt.Sprintf("schema %s %v", key, value)] = true
	}
}

func addSettings(names map[string]bool, path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	for line := range strings.Lines(string(data)) {
		if match := keyPattern.FindStringSubmatch(line); match != nil {
			names["deploy "+match[1]+match[2]] = true
		}
	}
	return nil
}
