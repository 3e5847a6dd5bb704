package entry

import (
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/hibiscuspulley/hibiscuspulley/internal/event"
)

// platformHealth notes whether the platform answers, and logs the changes.
type platformHealth struct {
	logger *logrus.Logger

	mu   sync.Mutex
	lost bool
}

// note takes in the outcome of a call and returns it unchanged.
func (p *platformHealth) note(err error) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case err != nil && !p.lost:
		event.PlatformUnreachable.Log(p.logger, logrus.Fields{"error": err})
	case err == nil && p.lost:
		event.PlatformReachable.Log(p.logger, nil)
	}
	p.lost = err != nil
	return err
}

// reachable reports whether the last call was answered.
func (p *platformHealth) reachable() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.lost
}
