package entry

import (
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/hibiscuspulley/hibiscuspulley/internal/event"
)

// platformHealth notes whether the platform answers, and logs the changes.
type platformHealth struct {
	logger *logrus.Logger

	mu          sync.Mutex
	unreachable bool
}

// record takes in the outcome of a call and returns it unchanged.
func (p *platformHealth) record(err error) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case err != nil && !p.unreachable:
		event.PlatformLost.Log(p.logger, logrus.Fields{"error": err})
	case err == nil && p.unreachable:
		event.PlatformBack.Log(p.logger, nil)
	}
	p.unreachable = err != nil
	return err
}

// reachable reports whether the last call was answered.
func (p *platformHealth) reachable() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.unreachable
}
