package event_test

import (
	"fmt"
	"os"
	"regexp"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuspulley/hibiscuspulley/internal/event"
)

func TestCatalogueListsEveryEvent(t *testing.T) {
	page, err := os.ReadFile("../../docs/events.md")
	require.NoError(t, err)
	source, err := os.ReadFile("catalogue.go")
	require.NoError(t, err)
	seen := make(map[int]bool)
	for _, e := range event.All() {
		require.False(t, seen[e.Number], "event %d is listed twice", e.Number)
		seen[e.Number] = true
		require.Contains(t, string(page), fmt.Sprintf("| %d | %s | %s |", e.Number, e.Level, e.Message))
	}
	defined := regexp.MustCompile(`= Event\{(\d+),`).FindAllSubmatch(source, -1)
	require.Len(t, seen, len(defined), "All() does not list every event")
	rows := regexp.MustCompile(`(?m)^\| \d+ \|`).FindAll(page, -1)
	require.Len(t, rows, len(defined), "docs/events.md lists an event that does not exist")
}
