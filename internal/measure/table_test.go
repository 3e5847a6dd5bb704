package measure_test

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// tables names the directory that takes the measured tables; empty skips the
// measurements, which are no checks.
var tables = flag.String("tables", "", "directory for the measured tables, such as docs/measurements")

// needTables skips a measurement that was not asked for.
func needTables(t *testing.T) {
	t.Helper()
	if *tables == "" {
		t.Skip("a measurement; run it with -tables DIRECTORY")
	}
}

// table is a table of a measurement's page.
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

// writePage writes a measurement's page.
func writePage(t *testing.T, name, text string) {
	t.Helper()
	require.NoError(t, os.WriteFile(*tables+"/"+name, []byte(text), 0o644))
	fmt.Println(text)
}
