package gateway

import (
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/hibiscuspulley/hibiscuspulley/internal/event"
	"github.com/hibiscuspulley/hibiscuspulley/internal/store"
)

// storeHealth logs when store calls on one table start to fail or to be rejected,
// and when they succeed again.
type storeHealth struct {
	logger    *logrus.Logger
	table     string
	failing   atomic.Bool
	rejecting atomic.Bool
}

// record records the result of a call. Calls that meet a conflict or are rejected
// have not failed, because the store responded.
func (h *storeHealth) record(err error) {
	rejected := errors.Is(err, store.ErrRejected)
	if !h.rejecting.Swap(rejected) && rejected {
		event.CallRejected.Log(h.logger, logrus.Fields{"table": h.table, "error": err})
	}
	failed := err != nil && !rejected && !errors.Is(err, store.ErrConflict)
	if h.failing.Swap(failed) == failed {
		return
	}
	if failed {
		event.PlatformUnreachable.Log(h.logger, logrus.Fields{"table": h.table, "error": err})
		return
	}
	event.PlatformReachable.Log(h.logger, logrus.Fields{"table": h.table})
}
