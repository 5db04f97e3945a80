package capacity

import (
	"fmt"
	"io"
	"math"

	"github.com/jedib0t/go-pretty/v6/table"
)

// Series is one quantity measured at several sizes. Its name includes the unit.
type Series struct {
	Name   string
	Values []float64
}

// TablePrinter prints tables of measurements.
type TablePrinter struct {
	Out io.Writer
}

// PrintFit prints a table with a row per size, and the fit of each series. fitSize is the size at
// which the fitted line is evaluated; 0 omits that row.
func (p TablePrinter) PrintFit(title, sizeName string, sizes []float64, fitSize float64, series ...Series) {
	_, _ = fmt.Fprintln(p.Out, title)
	writer := table.NewWriter()
	writer.SetOutputMirror(p.Out)
	header := table.Row{sizeName}
	for _, s := range series {
		header = append(header, s.Name)
	}
	writer.AppendHeader(header)
	for i, x := range sizes {
		row := table.Row{formatNumber(x)}
		for _, s := range series {
			row = append(row, formatNumber(s.Values[i]))
		}
		writer.AppendRow(row)
	}
	writer.AppendSeparator()
	slope, intercept := table.Row{"per unit of size"}, table.Row{"at size 0"}
	residual, fitted := table.Row{"largest residual"}, table.Row{"fit at " + formatNumber(fitSize)}
	for _, s := range series {
		line := Fit(sizes, s.Values)
		slope = append(slope, formatNumber(line.Slope))
		intercept = append(intercept, formatNumber(line.Intercept))
		residual = append(residual, formatNumber(line.Residual)+linearityNote(line))
		fitted = append(fitted, formatNumber(line.At(fitSize)))
	}
	writer.AppendRows([]table.Row{slope, intercept, residual})
	if fitSize > 0 {
		writer.AppendRow(fitted)
	}
	writer.Render()
}

// PrintRows prints a table without a fit.
func (p TablePrinter) PrintRows(title string, header table.Row, rows []table.Row) {
	_, _ = fmt.Fprintln(p.Out, title)
	writer := table.NewWriter()
	writer.SetOutputMirror(p.Out)
	writer.AppendHeader(header)
	writer.AppendRows(rows)
	writer.Render()
}

func linearityNote(line Line) string {
	if line.Linear {
		return ""
	}
	return " (not linear)"
}

// formatNumber formats a value with three significant digits, or as an integer from 100 on.
func formatNumber(value float64) string {
	if value == 0 || math.Abs(value) >= 100 {
		return fmt.Sprintf("%.0f", value)
	}
	return fmt.Sprintf("%.3g", value)
}
