package config

import (
	"sync"
	"sync/atomic"

	"github.com/hibiscuspulley/hibiscuspulley/pkg/operator"
)

// keptChanges is how many recent changes a Log keeps for its peers.
const keptChanges = 256

// Log holds the configuration in force and the recent changes. It never goes
// back to a lower revision. It is safe for concurrent use.
type Log struct {
	mu     sync.Mutex
	recent []operator.Change
	// committed is the state that the platform's table holds; state adds the
	// provisional orders to it.
	committed   *State
	provisional provisionals
	state       atomic.Pointer[State]
}

// NewLog returns a Log before the first change.
func NewLog() *Log {
	l := &Log{committed: NewState(), provisional: make(provisionals)}
	l.state.Store(l.committed)
	return l
}

// State returns the configuration in force.
func (l *Log) State() *State {
	return l.state.Load()
}

// Committed returns the configuration that the platform's table holds.
func (l *Log) Committed() *State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.committed
}

// publish puts the committed state with the provisional orders into force.
func (l *Log) publish() {
	l.provisional.settle(l.committed)
	l.state.Store(l.provisional.over(l.committed))
}

// AddProvisional takes provisional orders over and reports whether any is new.
func (l *Log) AddProvisional(orders []ProvisionalOrder) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	changed := false
	for _, p := range orders {
		changed = l.provisional.add(p, l.committed) || changed
	}
	if changed {
		l.publish()
	}
	return changed
}

// CreateProvisional makes a change a provisional order, behind all that are known.
func (l *Log) CreateProvisional(c operator.Change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.provisional.add(ProvisionalOrder{Number: l.provisional.highest() + 1, Change: c}, l.committed)
	l.publish()
}

// ProvisionalOrders returns the orders that the table does not hold yet.
func (l *Log) ProvisionalOrders() []ProvisionalOrder {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.provisional.list()
}

// ApplyChanges applies the changes that come next and passes over the ones already
// in force. It returns how many it applied.
func (l *Log) ApplyChanges(changes []operator.Change) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	applied := 0
	for _, c := range changes {
		next, err := l.committed.Apply(c)
		if err != nil {
			continue
		}
		l.committed = next
		l.keep(c)
		applied++
	}
	if applied > 0 {
		l.publish()
	}
	return applied
}

// AdoptSnapshot replaces the state with a snapshot if that is newer. It reports
// whether it did.
func (l *Log) AdoptSnapshot(s *State) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.Revision() <= l.committed.Revision() {
		return false
	}
	l.committed = s
	l.recent = nil
	l.publish()
	return true
}

// ChangesAfter returns the changes behind a revision, or false where the Log no
// longer keeps all of them.
func (l *Log) ChangesAfter(revision uint64) ([]operator.Change, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.committed.Revision()
	if revision >= now {
		return nil, true
	}
	missing := int(now - revision)
	if missing > len(l.recent) {
		return nil, false
	}
	tail := l.recent[len(l.recent)-missing:]
	return append([]operator.Change(nil), tail...), true
}

func (l *Log) keep(c operator.Change) {
	l.recent = append(l.recent, c)
	if len(l.recent) > keptChanges {
		l.recent = append([]operator.Change(nil), l.recent[len(l.recent)-keptChanges:]...)
	}
}
