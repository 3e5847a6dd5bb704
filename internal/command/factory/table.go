package factory

import (
	"strings"
	"text/tabwriter"
)

// columnPadding is the number of spaces between two columns.
const columnPadding = 2

// WriteTable writes a header and rows to Out in aligned columns.
func (f *Factory) WriteTable(header []string, rows [][]string) error {
	w := tabwriter.NewWriter(f.Out, 0, 0, columnPadding, ' ', 0)
	lines := append([][]string{header}, rows...)
	for _, cells := range lines {
		if _, err := w.Write([]byte(strings.Join(cells, "\t") + "\n")); err != nil {
			return err
		}
	}
	return w.Flush()
}
