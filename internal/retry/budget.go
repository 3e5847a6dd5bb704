package retry

import "sync"

// burst is the number of retries that a full budget allows. A new budget is
// full, so a service with few requests can retry too.
const burst = 10

// retryCost is the cost of one retry in units of Budget.credit.
const retryCost = 100

// Budget is a token bucket that limits retries to a percentage of requests, to
// keep retries from amplifying an overload. It is safe for concurrent use.
type Budget struct {
	mu sync.Mutex
	// credit is in hundredths of a retry.
	credit int
}

// NewBudget returns a full Budget.
func NewBudget() *Budget {
	return &Budget{credit: burst * retryCost}
}

// RecordRequest records a first attempt, which adds percent hundredths of a
// retry to the budget. The budget never exceeds burst retries.
func (b *Budget) RecordRequest(percent int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credit = min(b.credit+percent, burst*retryCost)
}

// AllowRetry consumes one retry. It returns false if the budget is exhausted.
func (b *Budget) AllowRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.credit < retryCost {
		return false
	}
	b.credit -= retryCost
	return true
}
