// Package faultmatrix renders the page of faults and steps from the records that
// tests wrote through internal/faultmatrix.
package faultmatrix
