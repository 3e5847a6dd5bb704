package entry

import (
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/hibiscuspulley/hibiscuspulley/internal/event"
)

// platformHealth tracks whether the platform is reachable, and logs changes.
type platformHealth struct {
	logger *logrus.Logger

	mu          sync.Mutex
	unreachable bool
}

// record records the error of a platform call, or nil, and returns it unchanged. Any
// error counts as unreachable.
func (p *platformHealth) record(err error) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case err != nil && !p.unreachable:
		event.PlatformUnreachable.Log(p.logger, logrus.Fields{"error": err})
	case err == nil && p.unreachable:
		event.PlatformReachable.Log(p.logger, nil)
	}
	p.unreachable = err != nil
	return err
}

// reachable reports whether the last recorded call succeeded. It is true before the
// first one.
func (p *platformHealth) reachable() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.unreachable
}
