package retry_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuspulley/hibiscuspulley/internal/retry"
)

func TestRetriesStayBelowTheirShare(t *testing.T) {
	const requests, share = 10_000, 10
	b := retry.NewBudget()
	retries := 0
	for range requests {
		b.Request(share)
		for range 3 { // every request fails, and is retried while it may be
			if b.Retry() {
				retries++
			}
		}
	}
	require.LessOrEqual(t, retries, requests*share/100+10)
	require.GreaterOrEqual(t, retries, requests*share/100)
}
