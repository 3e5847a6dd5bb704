package measure_test

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// tables is the output directory for the measured tables. If it is empty, the
// measurements are skipped; they check nothing.
var tables = flag.String("tables", "", "output directory for the measured tables, such as docs/measurements")

// requireTables skips the measurement if -tables is not set.
func requireTables(t *testing.T) {
	t.Helper()
	if *tables == "" {
		t.Skip("a measurement; run it with -tables DIRECTORY")
	}
}

// table is a Markdown table of measured values.
type table struct {
	header []string
	rows   [][]string
}

func (b *table) add(cells ...string) {
	b.rows = append(b.rows, cells)
}

func (b *table) String() string {
	var s strings.Builder
	line := func(cells []string) { fmt.Fprintf(&s, "| %s |\n", strings.Join(cells, " | ")) }
	line(b.header)
	s.WriteString(strings.Repeat("|---", len(b.header)) + "|\n")
	for _, row := range b.rows {
		line(row)
	}
	return s.String()
}

// writePage writes a page into the output directory and prints it.
func writePage(t *testing.T, name, text string) {
	t.Helper()
	require.NoError(t, os.WriteFile(*tables+"/"+name, []byte(text), 0o644))
	fmt.Println(text)
}
