package cli

import (
	"io"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/jessevdk/go-flags"
	. "github.com/onsi/gomega"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/declare"
	"github.com/fireflychute/fireflychute/pkg/settings"
)

var (
	tomlBlock     = regexp.MustCompile("(?s)```toml\n(.*?)```")
	shellBlock    = regexp.MustCompile("(?s)```sh\n(.*?)```")
	inlineCommand = regexp.MustCompile("`(chutectl [^`]+)`")
	commandLine   = regexp.MustCompile(`(?m)^\s*(chutectl .*)$`)
	settingsTable = regexp.MustCompile(`(?m)^\[node\]$`)
	pageLink      = regexp.MustCompile(`\]\(([^)#:]*)(?:#([^)]*))?\)`)
	heading       = regexp.MustCompile(`(?m)^#+ (.*)$`)
)

// readPages are the texts of the operators' pages and of README.md by path.
func readPages(g *WithT) map[string]string {
	paths, err := filepath.Glob("../../docs/operators/*.md")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(paths)).To(BeNumerically(">=", 9))
	texts := map[string]string{}
	for _, path := range append(paths, "../../README.md") {
		text, err := os.ReadFile(path)
		g.Expect(err).NotTo(HaveOccurred())
		texts[path] = string(text)
	}
	return texts
}

// Guards against examples of settings and declarations that a node would refuse.
func TestTOMLOfPages(t *testing.T) {
	g := NewWithT(t)
	blocks := 0
	for path, text := range readPages(g) {
		objects := []api.Object{}
		for _, block := range tomlBlock.FindAllStringSubmatch(text, -1) {
			blocks++
			if settingsTable.MatchString(block[1]) {
				_, err := settings.Parse(path, []byte(block[1]))
				g.Expect(err).NotTo(HaveOccurred())
				continue
			}
			file, err := declare.DecodeFile(path+".toml", []byte(block[1]))
			g.Expect(err).NotTo(HaveOccurred())
			objects = append(objects, file.Objects...)
		}
		if len(objects) == 0 {
			continue
		}
		if path == filepath.FromSlash("../../docs/operators/roll-a-version.md") {
			objects = append(objects, exampleObjects(g)...)
		}
		g.Expect(declare.Validate(objects, declare.Context{Now: time.Now()})).To(Succeed(), path)
	}
	g.Expect(blocks).To(BeNumerically(">=", 4))
}

// exampleObjects are the objects to which the rollout of a page refers.
func exampleObjects(g *WithT) []api.Object {
	name := "../../examples/vestfjord/gateway.toml"
	text, err := os.ReadFile(name)
	g.Expect(err).NotTo(HaveOccurred())
	file, err := declare.DecodeFile(name, text)
	g.Expect(err).NotTo(HaveOccurred())
	return file.Objects
}

// Guards against commands in pages and in the help that the tool does not know, and
// against files that do not exist.
func TestCommandsOfPages(t *testing.T) {
	g := NewWithT(t)
	lines := []string{}
	for _, text := range readPages(g) {
		for _, block := range shellBlock.FindAllStringSubmatch(text, -1) {
			for _, match := range commandLine.FindAllStringSubmatch(block[1], -1) {
				lines = append(lines, match[1])
			}
		}
		for _, match := range inlineCommand.FindAllStringSubmatch(text, -1) {
			lines = append(lines, match[1])
		}
	}
	lines = append(lines, helpExamples(g)...)
	g.Expect(len(lines)).To(BeNumerically(">=", 40))
	for _, line := range lines {
		g.Expect(parseCommandLine(line)).To(Succeed(), line)
	}
}

// parseCommandLine parses a command line without running it.
func parseCommandLine(line string) error {
	e := &env{out: io.Discard}
	parser, err := newParser(e)
	if err != nil {
		return err
	}
	parser.CommandHandler = func(command flags.Commander, _ []string) error {
		var paths []string
		switch command := command.(type) {
		case *applyCommand:
			paths = command.Args.Paths
		case *diffCommand:
			paths = command.Args.Paths
		}
		for _, path := range paths {
			_, err := os.Stat(filepath.Join("../..", path))
			if err != nil {
				return err
			}
		}
		return nil
	}
	_, err = parser.ParseArgs(strings.Fields(strings.TrimPrefix(line, "chutectl ")))
	return err
}

func helpExamples(g *WithT) []string {
	parser, err := newParser(&env{})
	g.Expect(err).NotTo(HaveOccurred())
	examples := []string{}
	for _, command := range parser.Commands() {
		for _, leaf := range append(command.Commands(), command) {
			_, example, found := strings.Cut(leaf.LongDescription, "Example: ")
			if found && strings.HasPrefix(example, "chutectl ") {
				examples = append(examples, example)
			}
		}
	}
	g.Expect(len(examples)).To(BeNumerically(">=", 15))
	return examples
}

// Guards against links between pages that lead nowhere.
func TestLinksOfPages(t *testing.T) {
	g := NewWithT(t)
	paths, err := filepath.Glob("../../docs/design/*.md")
	g.Expect(err).NotTo(HaveOccurred())
	texts := readPages(g)
	for _, path := range append(paths, "../../docs/design.md") {
		text, err := os.ReadFile(path)
		g.Expect(err).NotTo(HaveOccurred())
		texts[path] = string(text)
	}
	for path, text := range texts {
		for _, link := range pageLink.FindAllStringSubmatch(text, -1) {
			target := path
			if link[1] != "" {
				target = filepath.Join(filepath.Dir(path), link[1])
			}
			linked, err := os.ReadFile(target)
			g.Expect(err).NotTo(HaveOccurred(), path)
			if link[2] != "" {
				g.Expect(headingAnchors(string(linked))).To(ContainElement(link[2]), path)
			}
		}
	}
}

// headingAnchors are the names by which the headings of a page are linked.
func headingAnchors(text string) []string {
	names := []string{}
	for _, match := range heading.FindAllStringSubmatch(text, -1) {
		names = append(names, strings.ReplaceAll(strings.ToLower(match[1]), " ", "-"))
	}
	return names
}
