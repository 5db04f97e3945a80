// Package telemetry records the node's metrics and traces with OpenTelemetry and exports them
// in the Prometheus format and by OTLP.
package telemetry

//go:generate go run ./internal/metricsdoc --page ../../docs/metrics.md
