// Package faultmatrix renders the fault matrix page, faults by steps, from the records
// that tests wrote through internal/faultmatrix.
package faultmatrix
