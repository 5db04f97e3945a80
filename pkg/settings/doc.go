// Package settings reads the static settings of a node from TOML. The types are
// generated from schema/settings.json.
package settings

//go:generate go tool -modfile=../../tools/go.mod go-jsonschema -p settings --only-models --tags toml --capitalization URL --schema-root-type settings.json=Settings -o types_gen.go ../../schema/settings.json
