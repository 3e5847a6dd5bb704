package gateway

import (
	"expvar"

	"github.com/sirupsen/logrus"

	"github.com/hibiscuspulley/hibiscuspulley/internal/connlimit"
	"github.com/hibiscuspulley/hibiscuspulley/internal/event"
	"github.com/hibiscuspulley/hibiscuspulley/internal/settings"
)

const (
	// maxPlainResponse limits a response body that is buffered in memory.
	maxPlainResponse = 16 << 20
	// clientShare is the share of the instance's memory that clients may make the entry
	// hold. The program and its state need up to a third, and memory that was just
	// released is free again only after the next garbage collection.
	clientShare = 0.4
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
