// Package demo runs both users' deployments at their present sizes on loopback,
// drives load through the nodes while targets, nodes, data centres and versions
// change, and checks the promises of docs/design.md against what the callers
// received and what the targets executed.
package demo
