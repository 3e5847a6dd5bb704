package entry

import (
	"sync"

	"github.com/hibiscuspulley/hibiscuspulley/internal/retry"
)

// budgets holds the retry budget of each service. It is safe for concurrent use.
type budgets struct {
	mu     sync.Mutex
	byName map[string]*retry.Budget
}

func newBudgets() *budgets {
	return &budgets{byName: make(map[string]*retry.Budget)}
}

// of returns the retry budget of a service and creates it if necessary.
func (b *budgets) of(service string) *retry.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.byName[service]
	if budget == nil {
		budget = retry.NewBudget()
		b.byName[service] = budget
	}
	return budget
}
