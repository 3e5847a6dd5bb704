package retry_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuspulley/hibiscuspulley/internal/retry"
)

func TestRetriesStayBelowTheirShare(t *testing.T) {
	const requests, percent = 10_000, 10
	b := retry.NewBudget()
	retries := 0
	for range requests {
		b.RecordRequest(percent)
		for range 3 { // every attempt fails
			if b.AllowRetry() {
				retries++
			}
		}
	}
	require.LessOrEqual(t, retries, requests*percent/100+10)
	require.GreaterOrEqual(t, retries, requests*percent/100)
}
