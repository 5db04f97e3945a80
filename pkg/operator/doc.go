// Package operator implements the HTTP resource API for operators. It validates and
// commits configuration changes and serves the declared configuration, the revision
// in force on each node, and the reasons for the system's decisions.
//
// A change is committed by a single conditional update of the manifest. Blobs are
// written before that update and stay invisible until it succeeds, so a failure of
// any platform call leaves the configuration unchanged.
package operator
