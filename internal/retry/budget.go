package retry

import "sync"

// burst is how many retries are allowed before the first requests have paid
// for them, so that a quiet service can retry too.
const burst = 10

// percent is the whole that a budget's share is taken of.
const percent = 100

// Budget bounds retries to a share of requests, so that retries never amplify
// an overload. It is safe for concurrent use.
type Budget struct {
	mu sync.Mutex
	// credit is counted in hundredths of a retry.
	credit int
}

// NewBudget returns a full Budget.
func NewBudget() *Budget {
	return &Budget{credit: burst * percent}
}

// RecordRequest notes a first try, which pays for share hundredths of a retry.
func (b *Budget) RecordRequest(share int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credit = min(b.credit+share, burst*percent)
}

// AllowRetry takes a retry out of the budget, or returns false when it is empty.
func (b *Budget) AllowRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.credit < percent {
		return false
	}
	b.credit -= percent
	return true
}
