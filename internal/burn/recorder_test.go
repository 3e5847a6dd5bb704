package burn_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuspulley/hibiscuspulley/internal/burn"
)

func TestSumsCoverTheirWindows(t *testing.T) {
	r := burn.NewRecorder()
	k := burn.Key{Service: "s", Organisation: "o", Objective: burn.FirstToken}
	start := time.Unix(1_000_000_000, 0)
	for minute := range 400 {
		r.Add(start.Add(time.Duration(minute)*time.Minute), k, minute%2 == 0)
	}
	sums := r.Sums(start.Add(399 * time.Minute))
	require.Len(t, sums, 3)
	for i, total := range []int64{5, 60, 360} {
		require.Equal(t, total, sums[i].Good+sums[i].Bad)
	}
	require.Equal(t, int64(180), sums[2].Bad)
	later := r.Sums(start.Add(24 * time.Hour))
	require.Zero(t, later[2].Good+later[2].Bad, "requests older than the window are not counted")
}

func ExampleRate() {
	// A target of 95% allows 5 bad requests in 100; 10 burn twice as fast.
	fmt.Printf("%.1f\n", burn.Rate(90, 10, 0.95))
	// Output: 2.0
}
