// Command docnames reports names that the pages set in code type and that the tree does not have: paths, tests, and
// identifiers such as placement.Model or drainTimeMs. A rename that a page missed fails the lint.
//
//	go run ./docnames TREE
package main

import (
	"fmt"
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

// check returns the missing names of all pages below tree, each behind its page and line.
func check(tree string) ([]string, error) {
	words, err := sourceWords(tree)
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
			for _, name := range missingNames(tree, line, words) {
				missing = append(missing, fmt.Sprintf("%s:%d: %s does not exist", page, number, name))
			}
		}
	}
	return missing, nil
}

func missingNames(tree, line string, words map[string]bool) (missing []string) {
	for _, test := range testName.FindAllString(line, -1) {
		if !words[test] {
			missing = append(missing, test)
		}
	}
	for _, span := range codeSpan.FindAllStringSubmatch(line, -1) {
		name := strings.TrimSuffix(span[1], "()")
		if !testName.MatchString(name) && !exists(tree, name, words) {
			missing = append(missing, name)
		}
	}
	return missing
}

// exists reports whether a name is in the tree. Spans that are neither a path nor an identifier are not checked.
func exists(tree, name string, words map[string]bool) bool {
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
	for _, part := range word.FindAllString(name, -1) {
		if !words[part] {
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

// sourceWords returns the words of all source files and of their paths.
func sourceWords(tree string) (map[string]bool, error) {
	words := map[string]bool{}
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
		for _, part := range word.FindAllString(relative, -1) {
			words[part] = true
		}
		if !slices.Contains(sourceSuffixes, filepath.Ext(path)) && entry.Name() != "Makefile" {
			return nil
		}
		content, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for _, part := range word.FindAllString(string(content), -1) {
			words[part] = true
		}
		return nil
	})
	return words, err
}
