package factory

import (
	"strings"
	"text/tabwriter"
)

// columnGap is the space between two columns.
const columnGap = 2

// WriteTable writes rows in aligned columns for people.
func (f *Factory) WriteTable(header []string, rows [][]string) error {
	w := tabwriter.NewWriter(f.Out, 0, 0, columnGap, ' ', 0)
	lines := append([][]string{header}, rows...)
	for _, cells := range lines {
		if _, err := w.Write([]byte(strings.Join(cells, "\t") + "\n")); err != nil {
			return err
		}
	}
	return w.Flush()
}
