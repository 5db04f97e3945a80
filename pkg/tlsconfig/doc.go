// Package tlsconfig provides the TLS configurations of the listeners for operators and peers.
// Certificates are reloaded without a restart when their files change. While changed files are
// invalid or inconsistent, the last valid certificates stay in use.
package tlsconfig
