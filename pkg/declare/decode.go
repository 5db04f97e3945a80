package declare

import (
	"bytes"
	"encoding/json"
	"path/filepath"
	"sort"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/tomlline"
)

// kindsBySection maps the top-level tables of a declaration file to object kinds.
var kindsBySection = map[string]string{
	"service":    api.KindService,
	"dataCentre": api.KindDataCentre,
	"route":      api.KindRoute,
	"workKind":   api.KindWorkKind,
	"caller":     api.KindCaller,
	"rollout":    api.KindRollout,
}

// File is a decoded declaration file.
type File struct {
	Name    string
	Objects []api.Object
	lines   tomlline.Lines
}

// Locate sets the file and line of a problem with an object of this file. It reports whether
// the file declares the object.
func (f *File) Locate(problem *Problem) bool {
	for _, object := range f.Objects {
		if object.Kind == problem.Kind && object.Name == problem.Name {
			problem.File = f.Name
			problem.Line = f.lines.Find(sectionOf(problem.Kind), problem.Name, problem.Field)
			return true
		}
	}
	return false
}

// Decode parses a TOML declaration without a file name; see DecodeFile.
func Decode(text []byte) ([]api.Object, error) {
	file, err := DecodeFile("", text)
	return file.Objects, err
}

// DecodeFile parses a declaration in TOML, or in JSON if the name ends in ".json". It has a table
// for each kind with a table for each object, for example [service.label-text]. Objects are
// sorted by kind and name and have canonical specs. The error is of type Problems and lists all
// problems found.
func DecodeFile(name string, text []byte) (File, error) {
	file := File{Name: name}
	tables, problem := decodeTables(name, text, &file)
	if problem != nil {
		problem.File = name
		return file, Problems{*problem}
	}
	problems := Problems{}
	for section, objects := range tables {
		problems = append(problems, file.addSection(section, objects)...)
	}
	sort.Slice(file.Objects, func(i, j int) bool { return file.Objects[i].Key() < file.Objects[j].Key() })
	return file, problems.asError()
}

func decodeTables(name string, text []byte, file *File) (map[string]any, *Problem) {
	tables := map[string]any{}
	if filepath.Ext(name) == ".json" {
		// json.Number keeps the digits of large integers, which float64 would round.
		decoder := json.NewDecoder(bytes.NewReader(text))
		decoder.UseNumber()
		err := decoder.Decode(&tables)
		if err != nil {
			return nil, &Problem{Line: jsonLine(text, err), Reason: err.Error()}
		}
		return tables, nil
	}
	err := toml.Unmarshal(text, &tables)
	var decodeError *toml.DecodeError
	if errors.As(err, &decodeError) {
		line, _ := decodeError.Position()
		return nil, &Problem{Line: line, Reason: decodeError.Error()}
	}
	if err != nil {
		return nil, &Problem{Reason: err.Error()}
	}
	file.lines = tomlline.Index(text)
	return tables, nil
}

// jsonLine returns the line of a JSON syntax error, or 0 for other errors.
func jsonLine(text []byte, err error) int {
	var syntax *json.SyntaxError
	if !errors.As(err, &syntax) {
		return 0
	}
	return 1 + strings.Count(string(text[:min(int(syntax.Offset), len(text))]), "\n")
}

func (f *File) addSection(section string, value any) Problems {
	kind, ok := kindsBySection[section]
	if !ok {
		return Problems{{
			File: f.Name, Line: f.lines.Find(section), Kind: section,
			Reason: "unknown kind of table; known are " + strings.Join(sectionNames(), ", "),
		}}
	}
	objects, ok := value.(map[string]any)
	if !ok {
		return Problems{{File: f.Name, Line: f.lines.Find(section), Kind: kind, Reason: "must hold a table per object, for example [" + section + ".name]"}}
	}
	problems := Problems{}
	for name, fields := range objects {
		problems = append(problems, f.addObject(section, kind, name, fields)...)
	}
	return problems
}

func (f *File) addObject(section, kind, name string, fields any) Problems {
	object := api.Object{Kind: kind, Name: name}
	if _, ok := fields.(map[string]any); !ok {
		return Problems{{File: f.Name, Line: f.lines.Find(section, name), Kind: kind, Name: name, Reason: "must be a table"}}
	}
	raw, err := json.Marshal(fields)
	if err != nil {
		return Problems{{File: f.Name, Line: f.lines.Find(section, name), Kind: kind, Name: name, Reason: err.Error()}}
	}
	object.Spec = raw
	canonical, err := Canonical(object)
	var problems Problems
	if errors.As(err, &problems) {
		for i := range problems {
			problems[i].File = f.Name
			problems[i].Line = f.lines.Find(section, name, problems[i].Field)
		}
		return problems
	}
	object.Spec = canonical
	f.Objects = append(f.Objects, object)
	return nil
}

func sectionNames() []string {
	names := []string{}
	for name := range kindsBySection {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func sectionOf(kind string) string {
	for section, k := range kindsBySection {
		if k == kind {
			return section
		}
	}
	return ""
}
