// Package processes tests the handling of faults with separate processes on loopback, real signals
// and real connections. "make faults" builds the binaries and runs the tests.
package processes
