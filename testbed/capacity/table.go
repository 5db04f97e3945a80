package capacity

import (
	"fmt"
	"io"
	"math"

	"github.com/jedib0t/go-pretty/v6/table"
)

// Series is one quantity measured at several sizes. The name has the unit.
type Series struct {
	Name   string
	Values []float64
}

// Report prints tables.
type Report struct {
	Out io.Writer
}

// Print prints a table with a row per size, and the fit of each series. target is
// the size for which the fit is worked out; 0 leaves that row out.
func (r Report) Print(title, size string, sizes []float64, target float64, series ...Series) {
	_, _ = fmt.Fprintln(r.Out, title)
	rows := table.NewWriter()
	rows.SetOutputMirror(r.Out)
	header := table.Row{size}
	for _, s := range series {
		header = append(header, s.Name)
	}
	rows.AppendHeader(header)
	for i, x := range sizes {
		row := table.Row{number(x)}
		for _, s := range series {
			row = append(row, number(s.Values[i]))
		}
		rows.AppendRow(row)
	}
	rows.AppendSeparator()
	slope, intercept := table.Row{"per unit of size"}, table.Row{"at size 0"}
	residual, worked := table.Row{"largest residual"}, table.Row{"fit at " + number(target)}
	for _, s := range series {
		line := Fit(sizes, s.Values)
		slope = append(slope, number(line.Slope))
		intercept = append(intercept, number(line.Intercept))
		residual = append(residual, number(line.Residual)+verdict(line))
		worked = append(worked, number(line.At(target)))
	}
	rows.AppendRows([]table.Row{slope, intercept, residual})
	if target > 0 {
		rows.AppendRow(worked)
	}
	rows.Render()
}

// Rows prints a table without a fit.
func (r Report) Rows(title string, header table.Row, rows []table.Row) {
	_, _ = fmt.Fprintln(r.Out, title)
	writer := table.NewWriter()
	writer.SetOutputMirror(r.Out)
	writer.AppendHeader(header)
	writer.AppendRows(rows)
	writer.Render()
}

func verdict(line Line) string {
	if line.Linear {
		return ""
	}
	return " (not linear)"
}

// number prints three significant digits.
func number(value float64) string {
	if value == 0 || math.Abs(value) >= 100 {
		return fmt.Sprintf("%.0f", value)
	}
	return fmt.Sprintf("%.3g", value)
}
