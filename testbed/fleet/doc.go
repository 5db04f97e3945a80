// Package fleet runs the controllers of several nodes in one process, with an in-memory
// network between them and the platform stand-in of testbed/metastore, so that faults can
// be tested under fake time.
package fleet
