package gateway

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/hibiscuspulley/hibiscuspulley/internal/event"
	"github.com/hibiscuspulley/hibiscuspulley/internal/registry"
)

// verdictTTL is how long the verdict on a server incarnation answers for further
// broken attempts. Attempts that break because of one crash do so within some
// milliseconds.
const verdictTTL = 5 * time.Second

// crashVerdict is what is known about the server of a broken attempt.
type crashVerdict string

const (
	// serverCrashed means that nothing listens at the server's address any more,
	// or that another incarnation answers there.
	serverCrashed crashVerdict = "crashed"
	// serverRunning means that the same incarnation answers.
	serverRunning crashVerdict = "running"
	// serverUnknown means that nothing answered.
	serverUnknown crashVerdict = "unknown"
)

// brokenAttempt describes an attempt that the server or the connection to it
// ended early.
type brokenAttempt struct {
	server  *registry.Server
	request string
	// parts are the shared parts of the request's prompt.
	parts []string
	// events is the number of events that arrived, and firstEvent the time of the
	// first of them.
	events     int
	firstEvent time.Time
	brokenAt   time.Time
}

// crashDetector finds out whether the servers of broken attempts have crashed.
// It sends one probe per incarnation, however many attempts break.
type crashDetector struct {
	gateway *Gateway

	mu       sync.Mutex
	verdicts map[registry.Incarnation]*pendingVerdict
}

// pendingVerdict is the probe of one incarnation. done is closed once verdict
// and at are set.
type pendingVerdict struct {
	done    chan struct{}
	verdict crashVerdict
	at      time.Time
}

func newCrashDetector(g *Gateway) *crashDetector {
	return &crashDetector{gateway: g, verdicts: make(map[registry.Incarnation]*pendingVerdict)}
}

// examine probes the server of a broken attempt and logs the verdict.
func (cd *crashDetector) examine(a brokenAttempt) crashVerdict {
	cd.mu.Lock()
	p := cd.verdicts[a.server.Incarnation()]
	if p == nil || p.expired(a.brokenAt) {
		p = &pendingVerdict{done: make(chan struct{})}
		cd.prune(a.brokenAt)
		cd.verdicts[a.server.Incarnation()] = p
		server := *a.server
		cd.gateway.spawn(func() { cd.probe(server, p) })
	}
	cd.mu.Unlock()
	<-p.done
	cd.log(a, p.verdict)
	return p.verdict
}

// expired reports whether a new probe is needed. A server that was running may
// have crashed since then.
func (p *pendingVerdict) expired(now time.Time) bool {
	select {
	case <-p.done:
		return now.After(p.at) && (p.verdict != serverCrashed || now.Sub(p.at) > verdictTTL)
	default:
		return false
	}
}

// prune removes the verdicts that have expired. The caller holds cd.mu.
func (cd *crashDetector) prune(now time.Time) {
	for inc, p := range cd.verdicts {
		if p.expired(now) {
			delete(cd.verdicts, inc)
		}
	}
}

func (cd *crashDetector) probe(server registry.Server, p *pendingVerdict) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	cd.gateway.metrics.probes.Add(1)
	current, err := cd.gateway.platform.FetchServer(ctx, server)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED), err == nil && current.Incarnation() != server.Incarnation():
		p.verdict = serverCrashed
		cd.gateway.metrics.crashes.Add(1)
	case err == nil:
		p.verdict = serverRunning
		cd.gateway.observeReport(server.Incarnation(), current)
		if current.Leaving && !server.Leaving {
			cd.gateway.limits.observeLeaving(time.Now(), current.Incarnation())
		}
	default:
		p.verdict = serverUnknown
	}
	p.at = time.Now()
	close(p.done)
}

func (cd *crashDetector) log(a brokenAttempt, v crashVerdict) {
	fields := logrus.Fields{
		"request": a.request, "server": a.server.ID, "born": a.server.StartTime, "verdict": string(v),
		"prompt-parts": a.parts, "events": a.events,
	}
	if a.events > 0 {
		fields["writing-ms"] = a.brokenAt.Sub(a.firstEvent).Milliseconds()
	}
	event.AttemptBroken.Log(cd.gateway.logger, fields)
}
