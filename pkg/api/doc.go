// Package api defines the types of the resource API and of the objects that the system
// stores at the platform. The types are generated from schema/api.json.
package api

//go:generate go tool -modfile=../../tools/go.mod go-jsonschema -p api --only-models --tags json,toml --capitalization VM,VMs,API,ID,CIDRs -o types_gen.go ../../schema/api.json
