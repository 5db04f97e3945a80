// Package tlsconfig makes the TLS configurations of the listeners for operators
// and peers. Certificates are read again when their files change, without a
// restart. While changed files do not fit together, the last good ones stay in use.
package tlsconfig
