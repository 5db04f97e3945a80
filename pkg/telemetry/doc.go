// Package telemetry makes the node's OpenTelemetry metrics and traces.
package telemetry
