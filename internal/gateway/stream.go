package gateway

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/internal/dispatch"
)

const (
	// extraSends is how many more servers than the route's maximum number of
	// attempts a stream may be sent to. A server that sent neither an event nor an
	// error response does not count as an attempt, because the request is assumed
	// not to have started there.
	extraSends = 1
	// watchInterval is the time between two checks of a stream's progress.
	watchInterval = 150 * time.Millisecond
)

// streamRelay forwards one stream to the caller, from one server after another. If a
// server is silent, others are asked to continue the stream while its attempt goes on. The
// first of them all that sends a new event leads, and the others are cancelled: that another
// server has capacity is known only once it writes.
//
// One goroutine runs serveStream. Each attempt and the search for a server have their own.
type streamRelay struct {
	gateway *Gateway
	call    *call
	// starts counts the attempts.
	starts int
	// arrived is set once a request has arrived at a server: further ones are charged to
	// the retry budget. paid is set if the next one is charged already.
	arrived, paid bool
	// errorResponse is the last error response of a server.
	errorResponse *plainResponse
	// ended receives each attempt that has ended.
	ended chan *streamAttempt
	// found receives the result of the search for another server, which runs if
	// searchCtx is not nil.
	found     chan *dispatch.Reservation
	searchCtx context.Context

	// mu guards the fields below, those of the attempts that say so, and the response.
	mu      sync.Mutex
	w       http.ResponseWriter
	flusher *http.ResponseController
	// running holds the attempts that have not ended, in the order of their start.
	running []*streamAttempt
	// leader is the attempt that wrote to the caller last.
	leader *streamAttempt
	// header is the attempt whose response header was sent.
	header *streamAttempt
	// lastID is the ID of the last event that was forwarded or, before any, the
	// caller's Last-Event-ID.
	lastID string
	// stopSearch ends the search, if one runs.
	stopSearch context.CancelFunc
}

// serveStream handles a request whose response is a stream of events.
func (g *Gateway) serveStream(ctx context.Context, w http.ResponseWriter, c *call) {
	s := &streamRelay{
		gateway: g, call: c, w: w, flusher: http.NewResponseController(w), lastID: c.info.LastEventID,
		found: make(chan *dispatch.Reservation, 1), stopSearch: func() {},
	}
	s.ended = make(chan *streamAttempt, s.maxStarts())
	for s.mayStart(ctx) {
		res := g.reserve(ctx, c, c.info.Model, s.starts > 0)
		if res == nil {
			c.addNote("no replica group has capacity")
			break
		}
		if !s.start(ctx, res) {
			break
		}
		switch s.await(ctx) {
		case streamComplete:
			g.metrics.status(http.StatusOK)
			g.logOutcome(c, http.StatusOK, "")
			return
		case streamCallerGone:
			g.logOutcome(c, 0, "the caller disconnected")
			panic(http.ErrAbortHandler)
		default:
		}
	}
	s.finish(ctx)
}

// mayStart reports whether a further attempt may be made while none runs, and charges it
// to the retry budget.
func (s *streamRelay) mayStart(ctx context.Context) bool {
	g, c := s.gateway, s.call
	if s.starts == 0 {
		return true
	}
	if s.starts >= s.maxStarts() || ended(ctx) {
		return false
	}
	if c.sent > 0 && (!c.route.Retryable() || c.sent >= c.route.MaxAttempts+extraSends || !g.attemptsLeft(c, 0)) {
		return false
	}
	s.paid = s.paid || !s.arrived || g.takeRetry(c)
	return s.paid
}

// maxStarts is the maximum number of attempts, including those that were not sent or not
// run.
func (s *streamRelay) maxStarts() int {
	return maxUnsentAttempts + s.call.route.MaxAttempts + extraSends
}

// start makes an attempt in a goroutine of its own. If the request may no longer be sent,
// it releases the reservation and returns false.
func (s *streamRelay) start(ctx context.Context, res *dispatch.Reservation) bool {
	g, c := s.gateway, s.call
	trusted := g.keyTrusted(c)
	if !trusted {
		c.addNote("the configuration is no longer confirmed")
	}
	if !trusted || !g.isolation.maySend(c, c.sent > 0 || len(s.running) > 0) {
		res.Release(time.Now(), dispatch.Cancelled)
		g.queues.Queue(c.service, c.info.Model).Dispatch()
		return false
	}
	s.starts++
	a := newStreamAttempt(ctx, s, res)
	c.setTried(res.Server.ID, time.Time{})
	s.paid = false
	s.mu.Lock()
	s.running = append(s.running, a)
	a.after = s.lastID
	s.mu.Unlock()
	go func() {
		a.run(ctx)
		s.ended <- a
	}()
	return true
}

// await returns when an attempt has completed the stream, when the caller has gone, or
// when all attempts have failed. Meanwhile it asks further servers if those are silent.
func (s *streamRelay) await(ctx context.Context) streamResult {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	result := streamBroken
	for len(s.running) > 0 {
		select {
		case a := <-s.ended:
			s.handleEnded(a)
			if a.result == streamComplete || a.result == streamCallerGone {
				result = a.result
				s.cancelAll()
			}
		case res := <-s.found:
			s.handleFound(ctx, res)
		case now := <-ticker.C:
			s.check(ctx, now)
		}
	}
	s.endSearch()
	return result
}

// handleEnded records the result of an attempt.
func (s *streamRelay) handleEnded(a *streamAttempt) {
	c := s.call
	s.mu.Lock()
	s.running = slices.DeleteFunc(s.running, func(other *streamAttempt) bool { return other == a })
	s.mu.Unlock()
	if a.errorResponse != nil {
		s.errorResponse = a.errorResponse
	}
	switch a.result {
	case streamComplete, streamCallerGone:
	case streamUnsent:
		s.paid = s.paid || a.paid
	case streamRejected:
		s.arrived = true
		c.setRejected(a.reservation.Server.ID, a.status)
	case streamBroken, streamFailed, streamSuperseded:
		s.arrived = true
		c.sent++
	}
	if a.result == streamFailed || a.events > 0 {
		c.startedOn = append(c.startedOn, a.reservation.Server.Incarnation())
	}
}

// cancelAll ends all attempts and the search.
func (s *streamRelay) cancelAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.supersedeOthers(nil)
}

// check cancels the attempts of a request that is held back, and begins to search for
// another server if all attempts are overdue.
func (s *streamRelay) check(ctx context.Context, now time.Time) {
	g, c := s.gateway, s.call
	held := !c.trial && g.isolation.tracker.Held(c.sharedParts())
	s.mu.Lock()
	begun, overdue := 0, true
	for _, a := range s.running {
		if held && a.events == 0 {
			a.heldBack = true
			a.cancel()
		}
		if a.events > 0 {
			begun++
		}
		overdue = overdue && a.overdue(now)
	}
	running := len(s.running)
	s.mu.Unlock()
	if overdue && !held && s.searchCtx == nil && c.route.Retryable() && s.starts < s.maxStarts() &&
		c.sent+running < c.route.MaxAttempts+extraSends && g.attemptsLeft(c, begun) {
		s.search(ctx)
	}
}

// search waits for capacity at another server while the attempts go on.
func (s *streamRelay) search(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	s.searchCtx = ctx
	s.mu.Lock()
	s.stopSearch = cancel
	s.mu.Unlock()
	go func() {
		s.found <- s.gateway.reserveElsewhere(ctx, s.call)
	}()
}

// handleFound asks the server that the search has found to continue the stream, unless an
// event has arrived meanwhile.
func (s *streamRelay) handleFound(ctx context.Context, res *dispatch.Reservation) {
	stopped := s.searchCtx.Err() != nil
	s.mu.Lock()
	s.stopSearch()
	s.mu.Unlock()
	s.searchCtx = nil
	if res == nil {
		return
	}
	if stopped {
		res.Release(time.Now(), dispatch.Cancelled)
		s.gateway.queues.Queue(s.call.service, s.call.info.Model).Dispatch()
		return
	}
	s.paid = true
	s.start(ctx, res)
}

// endSearch ends the search, if one runs, and waits for its end.
func (s *streamRelay) endSearch() {
	if s.searchCtx == nil {
		return
	}
	s.cancelAll()
	s.handleFound(s.searchCtx, <-s.found)
}

// finish ends a request whose stream could not be forwarded completely. If the
// caller disconnected or the response header was sent, it closes the connection
// by a panic with http.ErrAbortHandler.
func (s *streamRelay) finish(ctx context.Context) {
	g, c := s.gateway, s.call
	switch {
	case c.callerGone():
		g.logOutcome(c, 0, "the caller disconnected")
		panic(http.ErrAbortHandler)
	case s.header != nil:
		g.logCut(c, s.cutReason(ctx))
		panic(http.ErrAbortHandler)
	case s.errorResponse != nil:
		g.deliver(s.w, c, s.errorResponse)
	case c.sent == 0:
		g.reject(s.w, c, http.StatusServiceUnavailable, g.finalRetryAfter(c), "no replica group accepted the request")
	case g.graceOver.Err() != nil:
		g.reject(s.w, c, http.StatusGatewayTimeout, 0, "the entry is shutting down; the request may have run")
	case ctx.Err() != nil:
		g.reject(s.w, c, http.StatusGatewayTimeout, 0, "timed out waiting for an event; the request may have run")
	default:
		g.reject(s.w, c, http.StatusBadGateway, 0, "the stream failed; the request may have run")
	}
}

// cutReason tells why a stream is cut whose caller is still there.
func (s *streamRelay) cutReason(ctx context.Context) string {
	switch {
	case s.gateway.graceOver.Err() != nil:
		return "the stream was cut: the entry is shutting down"
	case ctx.Err() != nil:
		return "the stream was cut: timed out waiting for an event"
	}
	return "the stream was cut: no server continues it"
}
