package gateway

import (
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/hibiscuspulley/hibiscuspulley/internal/event"
	"github.com/hibiscuspulley/hibiscuspulley/internal/store"
)

// dependency logs when calls of one kind begin to fail, and when they work
// again.
type dependency struct {
	logger  *logrus.Logger
	table   string
	failing atomic.Bool
}

// note takes in how a call ended. A conflict is an answer.
func (d *dependency) note(err error) {
	failed := err != nil && !errors.Is(err, store.ErrConflict)
	if d.failing.Swap(failed) == failed {
		return
	}
	if failed {
		event.PlatformLost.Log(d.logger, logrus.Fields{"table": d.table, "error": err})
		return
	}
	event.PlatformBack.Log(d.logger, logrus.Fields{"table": d.table})
}
