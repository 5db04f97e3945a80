// Package processes tests the handling of faults with separate processes on loopback, real signals
// and real connections. "make faults" builds the binaries and runs the tests.
// Numbers such as P8 in the tests refer to the promises in docs/design.md.
package processes
