// Package configuration stores the accepted configuration of a node: a manifest with a revision,
// and the specs that the manifest refers to by digest.
package configuration
