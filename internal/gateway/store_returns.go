package gateway

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hibiscuspulley/hibiscuspulley/internal/event"
	"github.com/hibiscuspulley/hibiscuspulley/internal/store"
)

// tableState is what a table tells of a return of the store from an older copy.
type tableState struct {
	// version is that of the store, or 0 before the first update.
	version int64
	// held is the number of rows that are kept for now, and gone that of rows that were
	// kept and then given up, since the process has started.
	held, gone int
}

// storeReturns logs once, for all tables, that the store has come back from an older copy, and
// that no row is kept for that any more.
type storeReturns struct {
	logger *logrus.Logger

	mu     sync.Mutex
	era    int64
	at     time.Time
	tables map[string]tableState
	// kept is how many rows were kept; goneBefore is the number of rows gone at the return.
	kept, goneBefore int
	unsettled        bool
}

func newStoreReturns(logger *logrus.Logger) *storeReturns {
	return &storeReturns{logger: logger, era: -1, tables: make(map[string]tableState)}
}

// observe adds the state of a table after an update.
func (r *storeReturns) observe(now time.Time, table string, s tableState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	previous := r.tables[table]
	r.tables[table] = s
	era := store.Era(s.version)
	if era > r.era {
		if r.era >= 0 {
			r.began(now, previous, s)
		}
		r.era = era
	}
	if !r.unsettled {
		return
	}
	if store.Era(previous.version) < era {
		r.kept += s.held
	}
	gone := 0
	for _, t := range r.tables {
		if store.Era(t.version) < r.era || t.held > 0 {
			return
		}
		gone += t.gone
	}
	r.unsettled = false
	event.StoreSettled.Log(r.logger, logrus.Fields{
		"era": r.era, "rows-kept": r.kept, "rows-gone": gone - r.goneBefore, "ms": now.Sub(r.at).Milliseconds(),
	})
}

func (r *storeReturns) began(now time.Time, previous, s tableState) {
	r.at, r.unsettled, r.kept, r.goneBefore = now, true, 0, 0
	for _, t := range r.tables {
		r.goneBefore += t.gone
	}
	event.StoreRestored.Log(r.logger, logrus.Fields{
		"era": store.Era(s.version), "number": store.Number(s.version),
		"previous-era": r.era, "previous-number": store.Number(previous.version),
	})
}
