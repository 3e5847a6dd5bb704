package entry

import (
	"context"
	"expvar"

	"github.com/sirupsen/logrus"

	"github.com/hibiscuspulley/hibiscuspulley/internal/connlimit"
	"github.com/hibiscuspulley/hibiscuspulley/internal/event"
	"github.com/hibiscuspulley/hibiscuspulley/internal/settings"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/caller"
)

const (
	// clientShare is the share of the instance's memory that clients may make the entry
	// hold. The program and its state need up to a third, and memory that was just
	// released is free again only after the next garbage collection.
	clientShare = 0.4
	// callerConnShare, peerConnShare and operatorConnShare are the shares of the
	// process's descriptors that the connections to a listener may take. The rest is for
	// the connections to engines, backend servers, peers and the platform.
	callerConnShare   = 1.0 / 2
	peerConnShare     = 1.0 / 8
	operatorConnShare = 1.0 / 32
	// freeBytes is the size of a small body or response, which the charge for its
	// connection covers.
	freeBytes = 4 << 10
)

// newClientLimits returns the limits of what clients can make the entry hold, and
// publishes their counters. It sets the settings that are 0 to their defaults.
func newClientLimits(s *settings.GatewayLimits, m *metrics, logger *logrus.Logger) *connlimit.Limiter {
	s.SetDefaults()
	l := connlimit.New(int64(clientShare*float64(s.MemoryBytes)), connlimit.WithOnEvict(func(e connlimit.Eviction) {
		event.ClientCutOff.Log(logger, logrus.Fields{
			"address": e.Address, "held-bytes": e.Held, "idle-ms": e.Idle.Milliseconds(), "reason": e.Reason,
		})
	}))
	for name, value := range map[string]func() int64{
		"client-bytes":         l.Used,
		"client-connections":   func() int64 { return int64(l.Connections()) },
		"clients-cut-off":      l.Evicted,
		"client-memory-denied": l.Refused,
	} {
		m.vars.Set(name, expvar.Func(func() any { return value() }))
	}
	return l
}

// clientMemory is what one request reserves of the memory for clients.
type clientMemory struct {
	limiter *connlimit.Limiter
	// ctx is the context of the request, which names its connection.
	ctx  context.Context //nolint:containedctx // it identifies the connection
	held int64
}

// reserve reserves n more bytes, unless they are few.
func (m *clientMemory) reserve(n int64) error {
	if n <= freeBytes {
		return nil
	}
	if err := m.limiter.Reserve(m.ctx, n); err != nil {
		return err
	}
	m.held += n
	return nil
}

// release releases what was reserved.
func (m *clientMemory) release() {
	m.limiter.Release(m.ctx, m.held)
	m.held = 0
}

// noMemory returns the error for a request that has not run because the memory for
// clients is in use.
func noMemory() *caller.Error {
	return unavailable("no-memory", "the entry has no memory for the request now; send it again later")
}
