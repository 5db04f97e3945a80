// Package fleet runs the controllers of several nodes in one process, with fakes for
// the network between them and for the platform, so that faults can be tested under
// fake time.
package fleet
