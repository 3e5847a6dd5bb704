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
	// probeTimeout limits one probe. A response takes one round trip.
	probeTimeout = 300 * time.Millisecond
	// fastProbeInterval is the minimum time between two probes of a server.
	// Each probe is billed.
	fastProbeInterval = 300 * time.Millisecond
	// fastProbePeriod is how long a suspect that does not respond is probed at
	// fastProbeInterval.
	fastProbePeriod = 3 * time.Second
	// slowProbeInterval applies after fastProbePeriod, and to servers that are
	// no longer suspects but whose last probe failed.
	slowProbeInterval = 2 * time.Second
)

// prober probes servers that are suspected to have failed.
type prober struct {
	gateway *Gateway

	mu sync.Mutex
	// states holds the state of each probed server, by its ID.
	states map[string]*probeState
	// advancing and stalled are the IDs of the servers whose streams advance or are
	// stalled (observeStreams).
	advancing, stalled map[string]bool
}

// probeState is the state of the probes of one server.
type probeState struct {
	formation.ProbeResult
	// address is the last known address, or empty if none is known.
	address string
	// startTime identifies the incarnation of a server without a record. It is 0 for
	// servers with a record, or if it is not known.
	startTime int64
	inFlight  bool
	// sentAt is when the last probe was sent, by the boot clock.
	sentAt time.Time
}

func newProber(g *Gateway) *prober {
	return &prober{gateway: g, states: make(map[string]*probeState)}
}

// result returns the result of the probes of a server. It is empty if no probe has
// ended. A server counts as answering while a peer observes progress on it. While
// servers without a record are kept, so do those whose streams advance.
func (p *prober) result(id string) formation.ProbeResult {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.states[id]
	switch {
	case s == nil:
		return formation.ProbeResult{Stalled: p.stalled[id], Advancing: p.advancing[id]}
	case !s.FailingSince.IsZero() && p.gateway.peers.hasProgress(id):
		return formation.ProbeResult{Answered: true}
	case p.gateway.keepsUnrecorded():
		return p.withStreams(id, s.ProbeResult)
	}
	return s.ProbeResult
}

// probe starts the probes that are due. It probes the suspects, and the servers
// in v whose last probe failed. It removes the states of all other servers.
func (p *prober) probe(ctx context.Context, v *registry.View, suspects []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.gateway.bootClock()
	for _, id := range suspects {
		if p.states[id] == nil {
			p.states[id] = &probeState{}
		}
		if srv := v.Servers[id]; srv != nil {
			p.states[id].address, p.states[id].startTime = srv.Address, 0
		} else if last := v.Removed[id]; last != nil {
			p.states[id].address, p.states[id].startTime = last.Address, last.StartTime
		}
	}
	for id, s := range p.states {
		suspected := slices.Contains(suspects, id)
		_, listed := v.Servers[id]
		if !suspected && (!listed || s.FailingSince.IsZero()) {
			delete(p.states, id)
			continue
		}
		if s.inFlight || s.address == "" || now.Sub(s.sentAt) < s.interval(now, suspected) {
			continue
		}
		s.inFlight, s.sentAt = true, now
		p.gateway.metrics.probes.Add(1)
		target := registry.Server{ID: id, Address: s.address, StartTime: s.startTime} // the probe runs without the lock
		p.gateway.spawn(func() { p.probeServer(ctx, target) })
	}
}

// interval returns the minimum time between two probes of the server. It is short
// for a suspect, because a decision about its group depends on the result. It is
// long once a suspect has been unresponsive for fastProbePeriod, and for servers
// that are not suspects.
func (s *probeState) interval(now time.Time, suspected bool) time.Duration {
	if suspected && (s.FailingSince.IsZero() || now.Sub(s.FailingSince) < fastProbePeriod) {
		return fastProbeInterval
	}
	return slowProbeInterval
}

// probeServer sends one probe and records its result. Every error counts as a
// failed probe.
func (p *prober) probeServer(ctx context.Context, target registry.Server) {
	id, address := target.ID, target.Address
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	srv, err := p.gateway.platform.FetchServer(ctx, registry.Server{ID: id, Address: address})
	replaced := err == nil && target.StartTime != 0 && isOther(srv, target.Incarnation())
	if replaced {
		err = errors.New("another server or incarnation answers")
	} else if err == nil {
		p.gateway.observeReport(target.Incarnation(), srv)
	}
	if err == nil && srv.Leaving {
		p.gateway.limits.observeLeaving(time.Now(), srv.Incarnation())
	}
	now := p.gateway.bootClock()
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.states[id]
	if s == nil {
		return
	}
	s.inFlight = false
	if err == nil {
		if !s.FailingSince.IsZero() {
			event.ServerResponsive.Log(p.gateway.logger, logrus.Fields{"server": id, "silent-ms": now.Sub(s.FailingSince).Milliseconds()})
		}
		s.ProbeResult = formation.ProbeResult{Answered: true}
		return
	}
	if s.FailingSince.IsZero() {
		s.FailingSince = s.sentAt
		event.ServerUnresponsive.Log(p.gateway.logger, logrus.Fields{"server": id, "address": address, "error": err})
	}
	s.Answered = false
	s.Refused = replaced || errors.Is(err, syscall.ECONNREFUSED)
}
