package config

import (
	"sync"
	"sync/atomic"

	"github.com/hibiscuspulley/hibiscuspulley/pkg/operator"
)

// maxRecentChanges is the number of recent changes that a Log keeps to send to
// peers.
const maxRecentChanges = 256

// Log holds the configuration in force and the most recent changes. Its revision
// never decreases. It is safe for concurrent use.
type Log struct {
	mu sync.Mutex
	// recent holds the latest committed changes in order of revision, without
	// gaps, up to the committed revision.
	recent []operator.Change
	// committed is the state stored in the platform's table. state is committed
	// with the provisional orders applied.
	committed   *State
	provisional orderSet
	state       atomic.Pointer[State]
}

// NewLog returns a Log without any changes, at revision 0.
func NewLog() *Log {
	l := &Log{committed: NewState(), provisional: make(orderSet)}
	l.state.Store(l.committed)
	return l
}

// State returns the configuration in force, including provisional orders.
func (l *Log) State() *State {
	return l.state.Load()
}

// Committed returns the configuration stored in the platform's table.
func (l *Log) Committed() *State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.committed
}

// publish drops superseded provisional orders and puts the committed state, with
// the remaining orders applied, into force. The caller holds l.mu.
func (l *Log) publish() {
	l.provisional.dropSuperseded(l.committed)
	l.state.Store(l.provisional.applyTo(l.committed))
}

// AddProvisional adds provisional orders received from peers and reports whether
// it stored any of them. It ignores superseded orders and those that are not
// newer than the stored order of their entity. The caller has checked them with
// CanBeProvisional.
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

// CreateProvisional creates a provisional order for the change, with a higher
// number than all stored orders. It has no effect if the order is already
// superseded. The caller has checked the change with CanBeProvisional.
func (l *Log) CreateProvisional(c operator.Change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.provisional.add(ProvisionalOrder{Number: l.provisional.highest() + 1, Change: c}, l.committed)
	l.publish()
}

// ProvisionalOrders returns the stored provisional orders, sorted by number. An
// order is removed once a later change of its entity is committed.
func (l *Log) ProvisionalOrders() []ProvisionalOrder {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.provisional.list()
}

// ApplyChanges applies the changes that follow the committed revision in sequence,
// skips all others and returns the number of changes applied.
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
		l.addRecent(c)
		applied++
	}
	if applied > 0 {
		l.publish()
	}
	return applied
}

// AdoptSnapshot replaces the committed state with a snapshot of a higher revision.
// It reports whether it replaced the state.
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

// ChangesAfter returns the committed changes that follow a revision, or false if
// the Log no longer has all of them. It returns no changes and true if there are
// none.
func (l *Log) ChangesAfter(revision uint64) ([]operator.Change, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	latest := l.committed.Revision()
	if revision >= latest {
		return nil, true
	}
	missing := int(latest - revision)
	if missing > len(l.recent) {
		return nil, false
	}
	tail := l.recent[len(l.recent)-missing:]
	return append([]operator.Change(nil), tail...), true
}

// addRecent appends a change to the recent changes and drops the oldest beyond
// maxRecentChanges.
func (l *Log) addRecent(c operator.Change) {
	l.recent = append(l.recent, c)
	if len(l.recent) > maxRecentChanges {
		l.recent = append([]operator.Change(nil), l.recent[len(l.recent)-maxRecentChanges:]...)
	}
}
