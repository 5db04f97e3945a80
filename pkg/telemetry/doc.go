// Package telemetry makes the node's OpenTelemetry metrics and traces.
package telemetry

//go:generate go run ./internal/metricsdoc --page ../../docs/metrics.md
