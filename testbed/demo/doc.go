// Package demo runs the deployments of both users, Vestfjord and Marsa, at their present sizes on
// loopback. It sends load through the nodes while targets, nodes, data centres and versions change,
// and checks the promises of docs/design.md against the responses that callers received and the
// executions that targets logged.
package demo
