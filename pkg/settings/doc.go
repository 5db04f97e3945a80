// Package settings loads and validates the static settings of a node from TOML. The types,
// defaults and ranges are generated from schema/settings.json.
package settings

//go:generate go tool -modfile=../../tools/go.mod go-jsonschema -p settings --only-models --tags toml --capitalization URL,TLS,CA --schema-root-type settings.json=Settings -o types_gen.go ../../schema/settings.json
//go:generate go -C ../../testbed run ./cmd/settingsdoc --schema ../schema/settings.json --page ../docs/settings.md --code ../pkg/settings/defaults_gen.go
