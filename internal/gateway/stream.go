package gateway

import (
	"context"
	"io"
	"mime"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/hibiscuspulley/hibiscuspulley/internal/backend"
	"github.com/hibiscuspulley/hibiscuspulley/internal/dispatch"
	"github.com/hibiscuspulley/hibiscuspulley/internal/event"
	"github.com/hibiscuspulley/hibiscuspulley/internal/sse"
)

// extraSends is how many more servers than the route's maximum number of
// attempts a stream may be sent to. A server that sent neither an event nor an
// error response does not count as an attempt, because the request is assumed
// not to have started there.
const extraSends = 1

// streamResult is the result of one attempt to relay a stream.
type streamResult int

const (
	// streamComplete means that the whole stream was forwarded.
	streamComplete streamResult = iota
	// streamUnsent means that nothing was sent to the server, for example because
	// it could not be reached or this gateway's connection limit for it was
	// reached.
	streamUnsent
	// streamRejected means that the server rejected the request without running
	// it.
	streamRejected
	// streamBroken means that the attempt ended early and the request may have
	// run in part.
	streamBroken
	// streamFailed means that the server sent an error response that does not
	// state that this request did not run.
	streamFailed
	// streamCallerGone means that the caller disconnected.
	streamCallerGone
)

// streamRelay forwards one stream to the caller, from one server after another.
type streamRelay struct {
	gateway *Gateway
	call    *call
	w       http.ResponseWriter
	flusher *http.ResponseController
	// lastID is the ID of the last event that was forwarded or, before any, the
	// caller's Last-Event-ID.
	lastID string
	// headerSent is set once the response header was sent to the caller.
	headerSent bool
	// errorResponse is the last error response of a server.
	errorResponse *plainResponse
	// next is the reservation of the next attempt, if the watchdog has made it. Its retry
	// is charged to the retry budget.
	next *dispatch.Reservation
}

// serveStream handles a request whose response is a stream of events.
func (g *Gateway) serveStream(ctx context.Context, w http.ResponseWriter, c *call) {
	s := &streamRelay{
		gateway: g, call: c, w: w, flusher: http.NewResponseController(w), lastID: c.info.LastEventID,
	}
	defer s.releaseNext()
	retryTaken := false
	for tries := range maxUnsentAttempts + c.route.MaxAttempts + extraSends {
		if (tries > 0 && ended(ctx)) || (c.sent > 0 && !retryTaken && !g.takeRetry(c)) {
			break
		}
		res := s.takeNext()
		if res == nil {
			res = g.reserve(ctx, c, c.info.Model, tries > 0)
		}
		if res == nil {
			c.addNote("no replica group has capacity")
			break
		}
		if !g.keyTrusted(c) {
			res.Release(time.Now(), dispatch.Cancelled)
			c.addNote("the configuration is no longer confirmed")
			break
		}
		if !g.isolation.maySend(c) {
			res.Release(time.Now(), dispatch.Cancelled)
			break
		}
		result := s.attempt(ctx, res)
		retryTaken = s.next != nil
		switch result {
		case streamComplete:
			g.metrics.status(http.StatusOK)
			g.logOutcome(c, http.StatusOK, "")
			return
		case streamCallerGone:
			g.logOutcome(c, 0, "the caller disconnected")
			panic(http.ErrAbortHandler)
		case streamUnsent:
			continue
		case streamRejected:
			retryTaken = s.next != nil || g.takeRetry(c)
			if !retryTaken {
				s.finish(ctx)
				return
			}
			continue
		case streamBroken, streamFailed:
		}
		c.sent++
		if result == streamFailed {
			c.startedOn = append(c.startedOn, res.Server.Incarnation())
		}
		if !c.route.Retryable() || !g.canRetryElsewhere(c) {
			break
		}
	}
	s.finish(ctx)
}

// takeNext returns the reservation that the watchdog has made for the next attempt, if
// any. The caller must release it.
func (s *streamRelay) takeNext() *dispatch.Reservation {
	res := s.next
	s.next = nil
	return res
}

// releaseNext releases the reservation of an attempt that is not made.
func (s *streamRelay) releaseNext() {
	if res := s.takeNext(); res != nil {
		res.Release(time.Now(), dispatch.Cancelled)
		s.gateway.queues.Queue(s.call.service, s.call.info.Model).Dispatch()
	}
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
	case s.headerSent:
		g.metrics.cut.Add(1)
		g.logOutcome(c, http.StatusOK, "the stream was cut")
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

// attempt relays the stream of one server. If the server stalls and another one has room,
// it sets s.next.
func (s *streamRelay) attempt(ctx context.Context, res *dispatch.Reservation) (result streamResult) {
	g, c := s.gateway, s.call
	c.tried[res.Server.ID] = true
	started, delivered := time.Now(), c.delivered
	held := func() bool { return !c.trial && g.isolation.tracker.Held(c.sharedParts()) }
	attemptCtx, watch := newWatchdog(ctx, res, held, func(ctx context.Context, gotEvent bool) *dispatch.Reservation {
		if !c.route.Retryable() || c.sent+1 >= c.route.MaxAttempts+extraSends || !g.attemptsLeft(c, gotEvent) {
			return nil
		}
		return g.reserveElsewhere(ctx, c)
	})
	reason := ""
	defer func() {
		s.next = watch.stop()
		outcome := dispatch.Failed
		if watch.stalled() {
			reason = "no event for too long"
			if c.delivered == delivered || res.Stalled(time.Now()) {
				outcome = dispatch.Unresponsive
			}
		}
		if result == streamComplete && watch.unproven() {
			g.isolation.tracker.RecordSuccess(time.Now(), c.sharedParts())
		}
		switch {
		case watch.abandoned():
			outcome, reason = dispatch.Cancelled, "a prompt part came into quarantine"
		case result == streamUnsent && !ended(ctx):
			outcome = dispatch.Unresponsive
		case result == streamComplete:
			outcome = dispatch.Served
		case result == streamRejected:
			outcome = dispatch.Rejected
		case c.callerGone():
			result, outcome = streamCallerGone, dispatch.Cancelled
		case errors.Is(ctx.Err(), context.Canceled):
			outcome = dispatch.Cancelled
		case result == streamUnsent:
			outcome = dispatch.Cancelled
		}
		if result == streamBroken && !watch.stalled() && !watch.abandoned() && ctx.Err() == nil {
			g.isolation.attemptBroke(ctx, c, res, watch)
		}
		if c.delivered > delivered {
			c.startedOn = append(c.startedOn, res.Server.Incarnation())
		}
		c.addNote(res.Server.ID + " " + strconv.Itoa(c.delivered-delivered) + " events in " +
			time.Since(started).Round(time.Millisecond).String() + " " + reason)
		res.Release(time.Now(), outcome)
		g.queues.Queue(c.service, c.info.Model).Dispatch()
	}()
	x, failure := g.send(attemptCtx, c, res, s.lastID, !c.route.Retryable())
	if failure != nil {
		reason = failure.Error()
		if failure.Stage == backend.Unsent {
			return streamUnsent
		}
		if !failure.Fresh {
			g.pool.CloseIdle(res.Server.ID)
		}
		if errors.Is(failure, errUnknownRejection) {
			return streamFailed // the server may run the request
		}
		return streamBroken
	}
	result, reason = s.relay(attemptCtx, x, res, watch)
	return result
}

// relay forwards the events of one server's response, or keeps the response if
// it is an error.
func (s *streamRelay) relay(ctx context.Context, x *backend.Exchange, res *dispatch.Reservation, watch *watchdog) (streamResult, string) {
	info := s.gateway.platform.Protocol.DecodeResponse(x.Response.Header, x.Response.StatusCode)
	if x.Response.StatusCode >= http.StatusMultipleChoices {
		body, err := s.gateway.readBody(ctx, s.call, x)
		if err != nil {
			x.Abort()
			return streamBroken, err.Error()
		}
		x.Finish()
		reason := describeError(x.Response.StatusCode, info)
		if info.NotRun {
			return streamRejected, reason
		}
		s.errorResponse = &plainResponse{status: x.Response.StatusCode, header: x.Response.Header, body: body}
		return streamFailed, reason
	}
	if !info.Signed || x.Response.Header.Get("Content-Encoding") != "" {
		x.Abort()
		return streamBroken, "the response has no signature or has a content encoding"
	}
	return s.relayEvents(ctx, x, res, watch)
}

// describeError describes a server's error response for the log.
func describeError(status int, info ResponseInfo) string {
	text := "status " + strconv.Itoa(status)
	if info.NotRun {
		text += ", not run"
	}
	if info.Wait > 0 {
		text += ", asks for " + info.Wait.String()
	}
	return text
}

func (s *streamRelay) relayEvents(ctx context.Context, x *backend.Exchange, res *dispatch.Reservation, watch *watchdog) (streamResult, string) {
	c := s.call
	continues, resumed := s.headerSent, false
	if continues && !isEventStream(x.Response) {
		x.Abort()
		return streamBroken, "the response that is to continue the stream is no stream of events"
	}
	reserved := int64(0)
	defer func() { s.gateway.clients.Release(ctx, reserved) }()
	events := sse.NewRawReader(x.Body(), sse.WithReserve(func(n int64) error {
		err := s.gateway.clients.Reserve(ctx, n)
		if err == nil {
			reserved += n
		}
		return err
	}))
	for {
		e, err := events.Read()
		if errors.Is(err, io.EOF) {
			if !s.headerSent && endsWithConnection(x.Response) {
				x.Abort()
				return streamBroken, "the connection ended before the first event"
			}
			if !s.headerSent {
				s.writeHeader(x)
			}
			x.Finish()
			return streamComplete, ""
		}
		if err != nil {
			x.Abort()
			return streamBroken, err.Error()
		}
		if continues && !e.Comment && len(e.ID) == 0 {
			// Without an ID it has no place in the stream. It may be the text of an
			// error.
			x.Abort()
			return streamBroken, "an event without an ID in the continuation of a stream"
		}
		now := time.Now()
		if !e.Comment {
			s.recordProgress(now, res, watch)
		}
		if s.alreadySent(e.ID) {
			continue
		}
		if !s.headerSent {
			s.writeHeader(x)
		} else if continues && !resumed {
			resumed = true
			s.logResume(res)
		}
		if _, err := s.w.Write(e.Bytes); err != nil {
			x.Abort()
			return streamCallerGone, err.Error()
		}
		c.recordForwarded(now)
		if len(e.ID) > 0 {
			s.lastID = string(e.ID)
		}
		if events.Buffered() == 0 {
			if err := s.flusher.Flush(); err != nil {
				x.Abort()
				return streamCallerGone, err.Error()
			}
		}
	}
}

// endsWithConnection reports whether only the end of the connection marks the end of the
// response, so that a whole response can't be told from one that was broken off.
func endsWithConnection(r *http.Response) bool {
	return r.ContentLength < 0 && !slices.Contains(r.TransferEncoding, "chunked")
}

// isEventStream reports whether a response is a stream of events. A response without a
// content type may be one.
func isEventStream(r *http.Response) bool {
	contentType := r.Header.Get("Content-Type")
	if contentType == "" {
		return r.StatusCode == http.StatusOK
	}
	mediaType, _, err := mime.ParseMediaType(contentType)
	return err == nil && mediaType == "text/event-stream" && r.StatusCode == http.StatusOK
}

// recordProgress records the arrival of an event. Comments are none: a server whose
// group stands still may go on sending them.
func (s *streamRelay) recordProgress(now time.Time, res *dispatch.Reservation, watch *watchdog) {
	res.RecordProgress(now)
	if watch.progress(now) {
		s.gateway.isolation.tracker.RecordSuccess(now, s.call.sharedParts())
	}
}

// writeHeader forwards the response header of the server whose stream is
// forwarded first. The headers of later servers are not sent.
func (s *streamRelay) writeHeader(x *backend.Exchange) {
	s.headerSent = true
	s.gateway.metrics.first.observe(time.Since(s.call.started))
	copyResponseHeader(s.w.Header(), x.Response.Header)
	s.w.Header().Del("Content-Length")
	s.gateway.writeHead(s.w, x.Response.StatusCode)
}

// alreadySent reports whether the event's ID is at most lastID. An event counts
// as new unless both are decimal numbers.
func (s *streamRelay) alreadySent(id []byte) bool {
	if s.lastID == "" || len(id) == 0 {
		return false
	}
	last, err := strconv.ParseInt(s.lastID, 10, 64)
	if err != nil {
		return false
	}
	next, err := strconv.ParseInt(string(id), 10, 64)
	return err == nil && next <= last
}

// logResume records that a server continues a stream of which the caller has already
// received events. A stream that begins at its second server is not resumed.
func (s *streamRelay) logResume(res *dispatch.Reservation) {
	c := s.call
	s.gateway.metrics.resumed.Add(1)
	event.StreamResumed.Log(s.gateway.logger, logrus.Fields{
		"request": c.info.ID, "server": res.Server.ID, "after-event": s.lastID, "attempts": c.attemptNotes,
	})
}
