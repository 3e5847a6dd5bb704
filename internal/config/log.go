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
	state  atomic.Pointer[State]
}

// NewLog returns a Log before the first change.
func NewLog() *Log {
	l := &Log{}
	l.state.Store(NewState())
	return l
}

// State returns the configuration in force.
func (l *Log) State() *State {
	return l.state.Load()
}

// Offer applies the changes that come next and passes over the ones already
// in force. It returns how many it applied.
func (l *Log) Offer(changes []operator.Change) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	applied := 0
	for _, c := range changes {
		next, err := l.state.Load().Apply(c)
		if err != nil {
			continue
		}
		l.state.Store(next)
		l.keep(c)
		applied++
	}
	return applied
}

// Adopt replaces the state with a snapshot if that is newer. It reports
// whether it did.
func (l *Log) Adopt(s *State) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.Revision() <= l.state.Load().Revision() {
		return false
	}
	l.state.Store(s)
	l.recent = nil
	return true
}

// After returns the changes behind a revision, or false where the Log no
// longer keeps all of them.
func (l *Log) After(revision uint64) ([]operator.Change, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.state.Load().Revision()
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
