package settings

import (
	"bytes"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"

	"github.com/fireflychute/fireflychute/pkg/tomlline"
)

// Load reads and validates the settings file at path. All errors except those of reading the file
// are of type Problems. Syntax errors, wrong types and unknown keys are reported first; only when
// there are none, all missing keys, values out of range and contradictions are reported.
func Load(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	return Parse(path, text)
}

// Parse decodes and validates the text of a settings file. Errors refer to the file as name.
func Parse(name string, text []byte) (Settings, error) {
	settings, err := Defaults()
	if err != nil {
		return settings, err
	}
	err = toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(&settings)
	if err != nil {
		return settings, decodeProblems(name, err)
	}
	c := checker{file: name, settings: settings, lines: tomlline.Index(text)}
	return settings, c.check()
}

// Defaults returns the settings of an empty file. They are incomplete, because required keys have
// no default.
func Defaults() (Settings, error) {
	var settings Settings
	err := toml.Unmarshal([]byte(defaults), &settings)
	return settings, errors.Wrap(err, "decode default settings")
}

// Validate checks settings that were not loaded from a file. Errors are of type Problems.
func (s Settings) Validate() error {
	c := checker{file: "settings", settings: s}
	return c.check()
}

// decodeProblems converts an error of the TOML decoder to Problems.
func decodeProblems(name string, err error) error {
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) {
		problems := Problems{}
		for _, e := range unknown.Errors {
			problems = append(problems, decodeProblem(name, &e, "unknown key"))
		}
		return problems.asError()
	}
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		return Problems{decodeProblem(name, decodeErr, strings.TrimPrefix(decodeErr.Error(), "toml: "))}
	}
	return Problems{{File: name, Reason: err.Error()}}
}

func decodeProblem(name string, err *toml.DecodeError, reason string) Problem {
	line, _ := err.Position()
	return Problem{File: name, Line: line, Key: strings.Join(err.Key(), "."), Reason: reason}
}
