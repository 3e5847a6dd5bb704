package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/hibiscuspulley/hibiscuspulley/internal/backend"
	"github.com/hibiscuspulley/hibiscuspulley/internal/dispatch"
	"github.com/hibiscuspulley/hibiscuspulley/internal/event"
	"github.com/hibiscuspulley/hibiscuspulley/internal/sse"
)

// unbegunSends is how many sends beyond the route's attempts a stream may
// have: a request that got no event has not begun to run.
const unbegunSends = 1

// streamEnd is how one attempt of a stream ended.
type streamEnd int

const (
	// streamWhole streams have been passed on to their end.
	streamWhole streamEnd = iota
	// streamUnsent attempts reached no server.
	streamUnsent
	// streamRejected attempts were refused by the server and did not run.
	streamRejected
	// streamBroken attempts may have run in part.
	streamBroken
	// streamFailed attempts were answered with a failure by the server.
	streamFailed
	// streamLeft means that the caller is gone.
	streamLeft
)

// streamRelay passes one stream on, from one server after another.
type streamRelay struct {
	gateway *Gateway
	call    *call
	w       http.ResponseWriter
	flusher *http.ResponseController
	// last is the ID of the last event passed on.
	last string
	// begun says that the caller has the answer's head.
	begun bool
	// failed is the last failure that a server answered with.
	failed *plainAnswer
}

// stream answers a request with a server's events.
func (g *Gateway) stream(ctx context.Context, w http.ResponseWriter, c *call) {
	s := &streamRelay{
		gateway: g, call: c, w: w, flusher: http.NewResponseController(w), last: c.ask.LastEventID,
	}
	paid := false
	for tries := range unsentTries + c.route.MaxAttempts + unbegunSends {
		if c.sent > 0 && !paid && !g.mayRepeat(c) {
			break
		}
		t := g.place(ctx, c, c.ask.Model, tries > 0)
		if t == nil {
			c.note("no replica group has room")
			break
		}
		if !g.fresh(c) {
			t.Release(time.Now(), dispatch.Cancelled)
			c.note("the configuration is no longer confirmed")
			break
		}
		end, repeatPaid := s.attempt(ctx, t)
		paid = repeatPaid
		switch end {
		case streamWhole:
			g.metrics.status(http.StatusOK)
			g.logOutcome(c, http.StatusOK, "")
			return
		case streamLeft:
			g.logOutcome(c, 0, "the caller left")
			panic(http.ErrAbortHandler)
		case streamUnsent:
			continue
		case streamRejected:
			paid = g.mayRepeat(c)
			if !paid {
				s.finish(ctx)
				return
			}
			continue
		case streamBroken, streamFailed:
		}
		c.sent++
		if end == streamFailed {
			c.ran = append(c.ran, t.Server.Incarnation())
		}
		if !c.route.Retryable() || !g.mayRunElsewhere(c) {
			break
		}
	}
	s.finish(ctx)
}

// finish answers a stream that could not be passed on as a whole.
func (s *streamRelay) finish(ctx context.Context) {
	g, c := s.gateway, s.call
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		g.logOutcome(c, 0, "the caller left")
		panic(http.ErrAbortHandler)
	case s.begun:
		g.metrics.cut.Add(1)
		g.logOutcome(c, http.StatusOK, "the stream was cut")
		panic(http.ErrAbortHandler)
	case s.failed != nil:
		g.deliver(s.w, c, s.failed)
	case c.sent == 0:
		g.refuse(s.w, c, http.StatusServiceUnavailable, max(c.retryAfter, busyRetryAfter), "no replica group took the request")
	case ctx.Err() != nil:
		g.refuse(s.w, c, http.StatusGatewayTimeout, 0, "no event in time; the request may have run")
	default:
		g.refuse(s.w, c, http.StatusBadGateway, 0, "the stream was lost; the request may have run")
	}
}

// attempt passes on what one server sends. paid says that a repeat has been
// taken out of the budget.
func (s *streamRelay) attempt(ctx context.Context, t *dispatch.Reservation) (end streamEnd, paid bool) {
	g, c := s.gateway, s.call
	c.tried[t.Server.ID] = true
	began, delivered := time.Now(), c.delivered
	attemptCtx, watch := newWatchdog(ctx, t, func(begun bool) bool {
		if !c.route.Retryable() || c.sent+1 >= c.route.MaxAttempts+unbegunSends {
			return false
		}
		return g.attemptsLeft(c, begun) && g.mayRepeat(c)
	})
	reason := ""
	defer func() {
		watch.stop()
		result := dispatch.Failed
		if watch.stalled() {
			paid, reason = true, "no event for too long"
			if c.delivered == delivered || t.Stalled(time.Now()) {
				result = dispatch.Unresponsive
			}
		}
		switch {
		case end == streamUnsent:
			result = dispatch.Unresponsive
		case end == streamWhole:
			result = dispatch.Served
		case end == streamRejected:
			result = dispatch.Rejected
		case errors.Is(ctx.Err(), context.Canceled):
			end, result = streamLeft, dispatch.Cancelled
		}
		if c.delivered > delivered {
			c.ran = append(c.ran, t.Server.Incarnation())
		}
		c.note(t.Server.ID + " " + strconv.Itoa(c.delivered-delivered) + " events in " +
			time.Since(began).Round(time.Millisecond).String() + " " + reason)
		t.Release(time.Now(), result)
		g.lines.Queue(c.service, c.ask.Model).Dispatch()
	}()
	x, failure := g.send(attemptCtx, c, t, s.last, !c.route.Retryable())
	if failure != nil {
		reason = failure.Error()
		if failure.Stage == backend.Unsent {
			return streamUnsent, false
		}
		if !failure.Fresh {
			g.pool.CloseIdle(t.Server.ID)
		}
		return streamBroken, false
	}
	end, reason = s.relay(x, t, watch)
	return end, false
}

// relay reads one server's answer.
func (s *streamRelay) relay(x *backend.Exchange, t *dispatch.Reservation, watch *watchdog) (streamEnd, string) {
	mark := s.gateway.platform.Protocol.DecodeResponse(x.Response.Header, x.Response.StatusCode)
	if x.Response.StatusCode >= http.StatusMultipleChoices {
		body, err := io.ReadAll(io.LimitReader(x.Body(), maxPlainAnswer))
		if err != nil {
			x.Abort()
			return streamBroken, err.Error()
		}
		x.Finish()
		reason := "status " + strconv.Itoa(x.Response.StatusCode)
		if mark.NotRun {
			return streamRejected, reason
		}
		s.failed = &plainAnswer{status: x.Response.StatusCode, header: x.Response.Header, body: body}
		return streamFailed, reason
	}
	if !mark.Signed || x.Response.Header.Get("Content-Encoding") != "" {
		x.Abort()
		return streamBroken, "the answer has no receipt or is encoded"
	}
	return s.relayEvents(x, t, watch)
}

func (s *streamRelay) relayEvents(x *backend.Exchange, t *dispatch.Reservation, watch *watchdog) (streamEnd, string) {
	c := s.call
	events := sse.NewRawReader(x.Body())
	for {
		e, err := events.Read()
		if errors.Is(err, io.EOF) {
			if !s.begun {
				s.begin(x)
			}
			x.Finish()
			return streamWhole, ""
		}
		if err != nil {
			x.Abort()
			return streamBroken, err.Error()
		}
		now := time.Now()
		t.RecordProgress(now)
		watch.progress(now)
		if s.passed(e.ID) {
			continue
		}
		if !s.begun {
			s.begin(x)
		} else if c.sent > 0 && c.delivered > 0 && s.last != "" {
			s.logResume(t)
		}
		if _, err := s.w.Write(e.Bytes); err != nil {
			x.Abort()
			return streamLeft, err.Error()
		}
		c.delivered++
		if len(e.ID) > 0 {
			s.last = string(e.ID)
		}
		if events.Buffered() == 0 {
			if err := s.flusher.Flush(); err != nil {
				x.Abort()
				return streamLeft, err.Error()
			}
		}
	}
}

// begin passes on the head of the first server's answer.
func (s *streamRelay) begin(x *backend.Exchange) {
	s.begun = true
	s.gateway.metrics.first.observe(time.Since(s.call.started))
	copyAnswerHeader(s.w.Header(), x.Response.Header)
	s.w.Header().Del("Content-Length")
	s.w.WriteHeader(x.Response.StatusCode)
}

// passed reports whether the event was passed on before.
func (s *streamRelay) passed(id []byte) bool {
	if s.last == "" || len(id) == 0 {
		return false
	}
	last, err := strconv.ParseInt(s.last, 10, 64)
	if err != nil {
		return false
	}
	next, err := strconv.ParseInt(string(id), 10, 64)
	return err == nil && next <= last
}

func (s *streamRelay) logResume(t *dispatch.Reservation) {
	c := s.call
	if c.resumed == c.sent {
		return
	}
	c.resumed = c.sent
	s.gateway.metrics.resumed.Add(1)
	event.StreamResumed.Log(s.gateway.logger, logrus.Fields{
		"request": c.ask.ID, "server": t.Server.ID, "after-event": s.last, "attempts": c.trail,
	})
}
