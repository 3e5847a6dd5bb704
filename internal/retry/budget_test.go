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
		b.RecordRequest(share)
		for range 3 { // every request fails, and is retried while it may be
			if b.AllowRetry() {
				retries++
			}
		}
	}
	require.LessOrEqual(t, retries, requests*share/100+10)
	require.GreaterOrEqual(t, retries, requests*share/100)
}
