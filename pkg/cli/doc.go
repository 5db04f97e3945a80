// Package cli implements the chutectl commands and the client for the resource API.
package cli
