// Command metricsdoc writes the reference page of the metrics.
package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/jessevdk/go-flags"

	"github.com/fireflychute/fireflychute/pkg/telemetry"
)

const intro = `# Metrics

<!-- Generated from the table in pkg/telemetry by make generate; do not edit. -->

Every node serves its metrics in the Prometheus format at ` + "`GET /metrics`" + ` on the listener for operators, and exports them by
OTLP when ` + "`tracing.endpoint`" + ` is set. The OTLP names have dots in place of underscores and no suffix for unit and total.
Counters start at 0 with the process. A series with a label appears with its first value.

| name | type | labels | meaning |
|---|---|---|---|
`

type options struct {
	Page string `long:"page" required:"true" description:"page to write in Markdown"`
}

func main() {
	var opts options
	_, err := flags.Parse(&opts)
	if err != nil {
		os.Exit(2)
	}
	err = os.WriteFile(opts.Page, []byte(page()), 0o644)
	if err != nil {
		fmt.Fprintln(os.Stderr, "metricsdoc:", err)
		os.Exit(1)
	}
}

func page() string {
	var text strings.Builder
	text.WriteString(intro)
	for _, m := range telemetry.All() {
		kind := strings.TrimPrefix(string(m.Type), "observed ")
		fmt.Fprintf(&text, "| `%s` | %s | %s | %s |\n", m.PrometheusName(), kind, strings.Join(m.Labels, ", "), m.Description)
	}
	return text.String()
}
