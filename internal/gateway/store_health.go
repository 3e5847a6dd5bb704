package gateway

import (
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/hibiscuspulley/hibiscuspulley/internal/event"
	"github.com/hibiscuspulley/hibiscuspulley/internal/store"
)

// storeHealth logs when store calls on one table start to fail and when they
// succeed again.
type storeHealth struct {
	logger  *logrus.Logger
	table   string
	failing atomic.Bool
}

// record records the result of a call. A conflict counts as success, because
// the store responded.
func (h *storeHealth) record(err error) {
	failed := err != nil && !errors.Is(err, store.ErrConflict)
	if h.failing.Swap(failed) == failed {
		return
	}
	if failed {
		event.PlatformUnreachable.Log(h.logger, logrus.Fields{"table": h.table, "error": err})
		return
	}
	event.PlatformReachable.Log(h.logger, logrus.Fields{"table": h.table})
}
