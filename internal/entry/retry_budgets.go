package entry

import (
	"sync"

	"github.com/hibiscuspulley/hibiscuspulley/internal/retry"
)

// retryBudgets holds the retry budget of each service. It is safe for
// concurrent use.
type retryBudgets struct {
	mu     sync.Mutex
	byName map[string]*retry.Budget
}

func newRetryBudgets() *retryBudgets {
	return &retryBudgets{byName: make(map[string]*retry.Budget)}
}

// forService returns the retry budget of a service and creates it if necessary.
func (b *retryBudgets) forService(service string) *retry.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.byName[service]
	if budget == nil {
		budget = retry.NewBudget()
		b.byName[service] = budget
	}
	return budget
}
