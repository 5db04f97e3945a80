// Package processes tests faults over separate processes on loopback, with real
// signals and connections. "make faults" builds the binaries and runs it.
package processes
