package routing_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuspulley/hibiscuspulley/internal/routing"
)

func TestARemovedNameMovesOnlyItsOwnKeys(t *testing.T) {
	names := []string{"a", "b", "c", "d"}
	first := make(map[string]int)
	for i := range 1000 {
		key := fmt.Sprint(i)
		before := routing.Rendezvous(key, names)[0]
		after := routing.Rendezvous(key, names[:3])[0]
		first[before]++
		if before != "d" {
			require.Equal(t, before, after)
		}
	}
	for _, name := range names {
		require.InDelta(t, 250, first[name], 60)
	}
}
