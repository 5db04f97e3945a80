package settings

import (
	"bytes"
	"os"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"
)

// Load reads and checks the settings file at path. The error names the file and,
// for a syntax error or an unknown key, the line and the key.
func Load(path string) (Settings, error) {
	var settings Settings
	text, err := os.ReadFile(path)
	if err != nil {
		return settings, errors.Wrap(err, "read settings")
	}
	err = toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(&settings)
	if err != nil {
		return settings, errors.Wrapf(describe(err), "settings %s", path)
	}
	return settings, errors.Wrapf(settings.Validate(), "settings %s", path)
}

// describe adds the position to an error of the TOML decoder.
func describe(err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		return errors.New("unknown keys:\n" + strict.String())
	}
	var syntax *toml.DecodeError
	if errors.As(err, &syntax) {
		return errors.New(syntax.String())
	}
	return err
}

// Validate reports the first setting that is missing.
func (s Settings) Validate() error {
	required := []struct{ key, value string }{
		{"node.name", s.Node.Name},
		{"node.dataCentre", s.Node.DataCentre},
		{"callers.listen", s.Callers.Listen},
		{"operators.listen", s.Operators.Listen},
		{"peers.listen", s.Peers.Listen},
		{"platform.url", s.Platform.URL},
	}
	for _, setting := range required {
		if setting.value == "" {
			return errors.Errorf("%s must be set", setting.key)
		}
	}
	return nil
}
