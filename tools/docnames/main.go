// Command docnames reports names that the pages set in code type and that the tree does not have: paths, tests, and
// identifiers such as placement.Model or drainTimeMs. A rename that a page missed fails the lint. Names behind a package
// or type of the tree must be declared there; other identifiers must occur in a source file.
//
//	go run ./docnames TREE
package main

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
)

var (
	codeSpan   = regexp.MustCompile("`([^`\n]+)`")
	fence      = regexp.MustCompile("(?ms)^```.*?^```")
	word       = regexp.MustCompile(`[A-Za-z_]\w*`)
	identifier = regexp.MustCompile(`^(?:[A-Za-z]\w*\.)*(?:[a-z]+\w*[A-Z]\w*|[A-Z]+[a-z]\w*[A-Z]\w*|[A-Z]\w*[a-z]\w*)$`)
	qualified  = regexp.MustCompile(`^[a-z]\w*(?:\.[A-Za-z]\w*)+$`)
	path       = regexp.MustCompile(`^[\w.-]+(?:/[\w.-]+)+/?$`)
	testName   = regexp.MustCompile(`\bTest[A-Z]\w*`)

	// sourceSuffixes are the files whose words count as names of the tree.
	sourceSuffixes = []string{".go", ".toml", ".json", ".sh", ".mod", ".yaml"}
	// skippedFolders hold no source of the tree.
	skippedFolders = []string{".git", "bin", "docs", "journal", "tmp"}
)

func main() {
	if len(os.Args) != 2 {
		fail(fmt.Errorf("usage: docnames TREE"))
	}
	missing, err := check(os.Args[1])
	if err != nil {
		fail(err)
	}
	for _, name := range missing {
		fmt.Println(name)
	}
	if len(missing) > 0 {
		os.Exit(1)
	}
}

func fail(err error) {
	fmt.Fprintln(os.Stderr, "docnames:", err)
	os.Exit(2)
}

// sources are the names of a tree.
type sources struct {
	// words are all words of the source files and of their paths.
	words map[string]bool
	// files are the base names of all files, keys the words of schemas and settings.
	files, keys map[string]bool
	// owners are the packages and types, declared what they declare: lease.Machine, Machine.Next, lease.Next and
	// lease.Machine.Next.
	owners, declared map[string]bool
}

// check returns the missing names of all pages below tree, each behind its page and line.
func check(tree string) ([]string, error) {
	names, err := readSources(tree)
	if err != nil {
		return nil, err
	}
	pages, err := pagePaths(tree)
	if err != nil {
		return nil, err
	}
	var missing []string
	for _, page := range pages {
		content, err := os.ReadFile(page)
		if err != nil {
			return nil, err
		}
		text := fence.ReplaceAllStringFunc(string(content), func(block string) string {
			return strings.Repeat("\n", strings.Count(block, "\n"))
		})
		number := 0
		for line := range strings.Lines(text) {
			number++
			for _, name := range missingNames(tree, line, names) {
				missing = append(missing, fmt.Sprintf("%s:%d: %s does not exist", page, number, name))
			}
		}
	}
	return missing, nil
}

func missingNames(tree, line string, names *sources) (missing []string) {
	for _, test := range testName.FindAllString(line, -1) {
		if !names.words[test] {
			missing = append(missing, test)
		}
	}
	for _, span := range codeSpan.FindAllStringSubmatch(line, -1) {
		name := strings.TrimSuffix(span[1], "()")
		if !testName.MatchString(name) && !names.exists(tree, name) {
			missing = append(missing, name)
		}
	}
	return missing
}

// exists reports whether a name is in the tree. Spans that are neither a path nor an identifier are not checked.
func (s *sources) exists(tree, name string) bool {
	if path.MatchString(name) {
		top, _, _ := strings.Cut(name, "/")
		if _, err := os.Stat(filepath.Join(tree, top)); err != nil || slices.Contains(skippedFolders, top) && top != "docs" {
			return true
		}
		_, err := os.Stat(filepath.Join(tree, name))
		return err == nil
	}
	if !identifier.MatchString(name) && !qualified.MatchString(name) {
		return true
	}
	if slices.Contains(sourceSuffixes, filepath.Ext(name)) {
		return s.files[name] || filepath.Ext(name) != ".go"
	}
	owner, member, isQualified := strings.Cut(name, ".")
	if isQualified && s.owners[owner] && !s.keys[member] {
		return s.declared[name]
	}
	for _, part := range word.FindAllString(name, -1) {
		if !s.words[part] {
			return false
		}
	}
	return true
}

func pagePaths(tree string) ([]string, error) {
	pages := []string{filepath.Join(tree, "README.md"), filepath.Join(tree, "DEVELOPERS.md"), filepath.Join(tree, "KNOWN-RED.txt")}
	err := filepath.WalkDir(filepath.Join(tree, "docs"), func(path string, _ fs.DirEntry, err error) error {
		if err == nil && strings.HasSuffix(path, ".md") {
			pages = append(pages, path)
		}
		return err
	})
	return pages, err
}

func readSources(tree string) (*sources, error) {
	s := &sources{words: map[string]bool{}, files: map[string]bool{}, keys: map[string]bool{}, owners: map[string]bool{}, declared: map[string]bool{}}
	err := filepath.WalkDir(tree, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		relative, err := filepath.Rel(tree, path)
		if err != nil {
			return err
		}
		if entry.IsDir() {
			if slices.Contains(skippedFolders, relative) {
				return filepath.SkipDir
			}
			return nil
		}
		addWords(s.words, relative)
		s.files[entry.Name()] = true
		if !slices.Contains(sourceSuffixes, filepath.Ext(path)) && entry.Name() != "Makefile" {
			return nil
		}
		content, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		addWords(s.words, string(content))
		switch filepath.Ext(path) {
		case ".go":
			return s.addDeclarations(path, content)
		case ".json", ".toml":
			addWords(s.keys, string(content))
		}
		return nil
	})
	return s, err
}

func addWords(words map[string]bool, text string) {
	for _, part := range word.FindAllString(text, -1) {
		words[part] = true
	}
}

func (s *sources) addDeclarations(path string, content []byte) error {
	file, err := parser.ParseFile(token.NewFileSet(), path, content, parser.SkipObjectResolution)
	if err != nil {
		return err
	}
	pkg := file.Name.Name
	s.owners[pkg] = true
	for _, declaration := range file.Decls {
		switch declaration := declaration.(type) {
		case *ast.FuncDecl:
			if declaration.Recv == nil {
				s.declared[pkg+"."+declaration.Name.Name] = true
				continue
			}
			s.addMember(pkg, receiverName(declaration.Recv.List[0].Type), declaration.Name.Name)
		case *ast.GenDecl:
			for _, spec := range declaration.Specs {
				s.addSpec(pkg, spec)
			}
		}
	}
	return nil
}

func (s *sources) addSpec(pkg string, spec ast.Spec) {
	switch spec := spec.(type) {
	case *ast.ValueSpec:
		for _, name := range spec.Names {
			s.declared[pkg+"."+name.Name] = true
		}
	case *ast.TypeSpec:
		s.owners[spec.Name.Name] = true
		s.declared[pkg+"."+spec.Name.Name] = true
		for _, member := range members(spec.Type) {
			s.addMember(pkg, spec.Name.Name, member)
		}
	}
}

func (s *sources) addMember(pkg, typeName, member string) {
	s.declared[pkg+"."+member] = true
	s.declared[typeName+"."+member] = true
	s.declared[pkg+"."+typeName+"."+member] = true
}

// members returns the names of the fields of a struct or the methods of an interface.
func members(expression ast.Expr) (names []string) {
	var fields []*ast.Field
	switch expression := expression.(type) {
	case *ast.StructType:
		fields = expression.Fields.List
	case *ast.InterfaceType:
		fields = expression.Methods.List
	}
	for _, field := range fields {
		for _, name := range field.Names {
			names = append(names, name.Name)
		}
	}
	return names
}

func receiverName(expression ast.Expr) string {
	switch expression := expression.(type) {
	case *ast.StarExpr:
		return receiverName(expression.X)
	case *ast.IndexExpr:
		return receiverName(expression.X)
	case *ast.Ident:
		return expression.Name
	}
	return ""
}
