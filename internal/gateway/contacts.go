package gateway

import (
	"context"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/hibiscuspulley/hibiscuspulley/internal/event"
	"github.com/hibiscuspulley/hibiscuspulley/internal/formation"
	"github.com/hibiscuspulley/hibiscuspulley/internal/registry"
)

const (
	// askTimeout bounds one direct question: an answer takes a round trip.
	askTimeout = 300 * time.Millisecond
	// askEvery is the least time between two questions to one server; each is
	// paid for.
	askEvery = 300 * time.Millisecond
	// askOften is how long a silent server is asked at that interval, and
	// askSeldom the interval after that.
	askOften  = 3 * time.Second
	askSeldom = 2 * time.Second
)

// contacts asks servers directly that are suspected of being gone.
type contacts struct {
	gateway *Gateway

	mu    sync.Mutex
	known map[string]*contactState
}

type contactState struct {
	formation.ProbeResult
	address string
	asking  bool
	askedAt time.Time
}

func newContacts(g *Gateway) *contacts {
	return &contacts{gateway: g, known: make(map[string]*contactState)}
}

// contact returns what direct questions to the server showed.
func (c *contacts) contact(id string) formation.ProbeResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.known[id]
	if s == nil || (!s.FailingSince.IsZero() && c.gateway.neighbours.advancing(id)) {
		return formation.ProbeResult{}
	}
	return s.ProbeResult
}

// ask asks the suspects, and those that have not answered yet.
func (c *contacts) ask(ctx context.Context, v *registry.View, suspects []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.gateway.bootClock()
	for _, id := range suspects {
		if c.known[id] == nil {
			c.known[id] = &contactState{}
		}
		if srv := v.Servers[id]; srv != nil {
			c.known[id].address = srv.Address
		} else if c.known[id].address == "" {
			c.known[id].address = c.gateway.lastAddress(id)
		}
	}
	for id, s := range c.known {
		suspected := slices.Contains(suspects, id)
		_, listed := v.Servers[id]
		if !suspected && (!listed || s.FailingSince.IsZero()) {
			delete(c.known, id)
			continue
		}
		if s.asking || s.address == "" || now.Sub(s.askedAt) < s.interval(now, suspected) {
			continue
		}
		s.asking, s.askedAt = true, now
		c.gateway.metrics.reports.Add(1)
		address := s.address // the lock is not held when the question is asked
		c.gateway.loop(func() { c.askOne(ctx, id, address) })
	}
}

// interval returns the time between two questions: short while an answer
// decides about a group, long once the silence is known.
func (s *contactState) interval(now time.Time, suspected bool) time.Duration {
	if suspected && (s.FailingSince.IsZero() || now.Sub(s.FailingSince) < askOften) {
		return askEvery
	}
	return askSeldom
}

func (c *contacts) askOne(ctx context.Context, id, address string) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	_, err := c.gateway.platform.FetchServer(ctx, registry.Server{ID: id, Address: address})
	now := c.gateway.bootClock()
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.known[id]
	if s == nil {
		return
	}
	s.asking = false
	if err == nil {
		if !s.FailingSince.IsZero() {
			event.ServerAnswers.Log(c.gateway.logger, logrus.Fields{"server": id, "silent-ms": now.Sub(s.FailingSince).Milliseconds()})
		}
		s.ProbeResult = formation.ProbeResult{}
		return
	}
	if s.FailingSince.IsZero() {
		s.FailingSince = s.askedAt
		event.ServerSilent.Log(c.gateway.logger, logrus.Fields{"server": id, "address": address, "error": err})
	}
	s.Refused = errors.Is(err, syscall.ECONNREFUSED)
}
