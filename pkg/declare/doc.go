// Package declare decodes declarations (TOML or JSON files) and validates a set
// of objects as a whole. All problems of a set are reported, each with the file,
// object and field that it concerns, as far as they are known.
package declare
