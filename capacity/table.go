package capacity

import (
	"fmt"
	"strings"
	"text/tabwriter"
)

// Table collects rows and prints them in columns.
type Table struct {
	text   strings.Builder
	writer *tabwriter.Writer
}

// NewTable returns a table with the given column headers.
func NewTable(header ...any) *Table {
	res := &Table{}
	res.writer = tabwriter.NewWriter(&res.text, 0, 0, 2, ' ', 0)
	res.Row(header...)
	return res
}

// Row adds a row. Floating-point numbers are printed with four significant digits.
func (t *Table) Row(cells ...any) {
	for _, c := range cells {
		if f, ok := c.(float64); ok {
			c = fmt.Sprintf("%.4g", f)
		}
		_, _ = fmt.Fprintf(t.writer, "%v\t", c)
	}
	_, _ = fmt.Fprintln(t.writer)
}

// Fit adds a row with the line that [Fit] returns for points.
func (t *Table) Fit(name string, points ...Point) {
	l := Fit(points)
	t.Row(name, fmt.Sprintf("%.4g + %.4g x, R2 %.3f", l.Intercept, l.Slope, l.R2))
}

// String returns the table.
func (t *Table) String() string {
	_ = t.writer.Flush()
	return "\n" + t.text.String()
}
