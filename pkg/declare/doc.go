// Package declare decodes declarations of configuration objects from TOML or JSON files and
// validates a set of objects as a whole. It reports all problems of a set, each with its file,
// line, object and field where available.
package declare
