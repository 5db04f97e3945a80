// Package cli holds the commands of chutectl and its client of the resource API.
package cli
