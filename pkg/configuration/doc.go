// Package configuration holds the accepted configuration as a whole: a manifest
// with a revision, and the specs that it refers to.
package configuration
