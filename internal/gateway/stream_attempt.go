package gateway

import (
	"context"
	"io"
	"net/http"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/hibiscuspulley/hibiscuspulley/internal/backend"
	"github.com/hibiscuspulley/hibiscuspulley/internal/dispatch"
	"github.com/hibiscuspulley/hibiscuspulley/internal/sse"
)

// silenceTimeout is how long a stream may go without an event before another server is
// asked to continue it, even if other streams of its server make progress. Callers
// disconnect after two seconds without an event.
const silenceTimeout = 1100 * time.Millisecond

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
	// streamSuperseded means that the attempt was cancelled because another one goes on
	// with the stream.
	streamSuperseded
	// streamCallerGone means that the caller disconnected.
	streamCallerGone
)

// streamAttempt is an attempt to relay a stream from one server.
type streamAttempt struct {
	relay       *streamRelay
	reservation *dispatch.Reservation
	ctx         context.Context
	cancel      context.CancelFunc
	started     time.Time
	// after is the ID of the last event that was forwarded when the attempt began.
	after string
	// paid is set if the attempt was charged to the retry budget, and newConn if it needs a
	// new connection.
	paid, newConn bool
	// result is set when the attempt has ended, with the status of an error response, and
	// that response if the result is streamFailed.
	result        streamResult
	status        int
	errorResponse *plainResponse

	// The relay's mu guards the fields below.

	// forwarded is the number of events that were forwarded, and events that of all that
	// arrived. firstEvent and lastEvent are the times of the first and the last one;
	// before any, lastEvent is when the attempt began.
	forwarded, events     int
	firstEvent, lastEvent time.Time
	// comments are those that came before the attempt led.
	comments []byte
	// alive is set once the server was still writing aliveAfter after the first
	// event.
	alive bool
	// heldBack is set if the attempt was cancelled because its request is held back.
	heldBack bool
	// superseded is set if the attempt was cancelled because another one goes on with the
	// stream, and silent if it was overdue then.
	superseded, silent bool
}

func newStreamAttempt(ctx context.Context, s *streamRelay, res *dispatch.Reservation) *streamAttempt {
	now := time.Now()
	a := &streamAttempt{
		relay: s, reservation: res, paid: s.paid, newConn: s.call.needsNewConn(res.Server.ID), started: now, lastEvent: now,
	}
	a.ctx, a.cancel = context.WithCancel(ctx)
	return a
}

// overdue reports whether the server's streams stand still, or this one has been silent
// for too long. The caller holds the relay's mu.
func (a *streamAttempt) overdue(now time.Time) bool {
	idle := now.Sub(a.lastEvent)
	return idle > silenceTimeout || (idle > watchInterval && a.reservation.Stalled(now))
}

// run makes the attempt, records its outcome and releases the reservation. ctx is the
// request's context.
func (a *streamAttempt) run(ctx context.Context) {
	defer a.cancel()
	reason := ""
	func() {
		defer a.recoverPanic(&reason)
		a.result, reason = a.send()
	}()
	s := a.relay
	g, c := s.gateway, s.call
	s.mu.Lock()
	outcome := a.outcome(ctx, &reason)
	forwarded, unproven := a.forwarded, a.events > 0 && !a.alive
	s.mu.Unlock()
	if a.result == streamComplete && unproven {
		g.isolation.tracker.RecordSuccess(time.Now(), c.sharedParts())
	}
	if a.result == streamBroken && !a.heldBack && ctx.Err() == nil {
		g.isolation.attemptBroke(ctx, a)
	}
	c.addNote(a.reservation.Server.ID + " " + strconv.Itoa(forwarded) + " events in " +
		time.Since(a.started).Round(time.Millisecond).String() + " " + reason)
	a.reservation.Release(time.Now(), outcome)
	g.queues.Queue(c.service, c.info.Model).Dispatch()
}

// recoverPanic logs a panic of the attempt, which then counts as broken. net/http recovers
// only those of the handler's own goroutine.
func (a *streamAttempt) recoverPanic(reason *string) {
	cause := recover()
	if cause == nil {
		return
	}
	a.relay.gateway.logPanicCause(a.relay.call, cause, debug.Stack())
	a.result, *reason = streamBroken, "the attempt panicked"
}

// outcome returns what the attempt says about the server, and refines its result and
// reason. The caller holds the relay's mu.
func (a *streamAttempt) outcome(ctx context.Context, reason *string) dispatch.Result {
	switch {
	case a.result == streamComplete:
		return dispatch.Served
	case a.heldBack:
		*reason = "a prompt part came into quarantine"
		return dispatch.Cancelled
	case a.result == streamUnsent && !ended(a.ctx):
		return dispatch.Unresponsive
	case a.result == streamRejected:
		return dispatch.Rejected
	case a.result == streamCallerGone, a.relay.call.callerGone():
		a.result = streamCallerGone
		return dispatch.Cancelled
	case errors.Is(ctx.Err(), context.Canceled), a.result == streamUnsent:
		return dispatch.Cancelled
	case a.superseded && !a.silent:
		a.result, *reason = streamSuperseded, errSuperseded.Error()
		return dispatch.Cancelled
	case a.superseded:
		a.result, *reason = streamSuperseded, "no event for too long"
		if a.events == 0 || a.reservation.Stalled(time.Now()) {
			return dispatch.Unresponsive
		}
		return dispatch.Failed
	}
	return dispatch.Failed
}

// send sends the request to the server and relays its response.
func (a *streamAttempt) send() (streamResult, string) {
	g, c := a.relay.gateway, a.relay.call
	x, failure := g.send(a.ctx, c, a.reservation, a.after, a.newConn)
	if failure == nil {
		return a.relayResponse(x)
	}
	if failure.Stage == backend.Unsent {
		return streamUnsent, failure.Error()
	}
	if !failure.Fresh {
		g.pool.CloseIdle(a.reservation.Server.ID)
	}
	if errors.Is(failure, errUnknownRejection) {
		return streamFailed, failure.Error() // the server may run the request
	}
	return streamBroken, failure.Error()
}

// relayResponse forwards the events of a response, or keeps the response if it is an
// error.
func (a *streamAttempt) relayResponse(x *backend.Exchange) (streamResult, string) {
	g, c := a.relay.gateway, a.relay.call
	info := g.platform.Protocol.DecodeResponse(x.Response.Header, x.Response.StatusCode)
	if x.Response.StatusCode >= http.StatusMultipleChoices {
		body, err := g.readBody(a.ctx, c, x)
		if err != nil {
			x.Abort()
			return streamBroken, err.Error()
		}
		x.Finish()
		a.status = x.Response.StatusCode
		reason := describeError(a.status, info)
		if info.NotRun {
			return streamRejected, reason
		}
		a.errorResponse = &plainResponse{status: a.status, header: x.Response.Header, body: body}
		return streamFailed, reason
	}
	if !info.Signed || x.Response.Header.Get("Content-Encoding") != "" {
		x.Abort()
		return streamBroken, "the response has no signature or has a content encoding"
	}
	result, reason := a.relayEvents(x)
	if result == streamComplete {
		x.Finish()
	} else {
		x.Abort()
	}
	return result, reason
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

// relayEvents forwards events until the response ends.
func (a *streamAttempt) relayEvents(x *backend.Exchange) (streamResult, string) {
	s := a.relay
	clients := s.gateway.clients
	if !s.mayContinue(a, x.Response) {
		return streamBroken, notContinuable
	}
	reserved := int64(0)
	defer func() { clients.Release(a.ctx, reserved) }()
	events := sse.NewRawReader(x.Body(), sse.WithReserve(func(n int64) error {
		err := clients.Reserve(a.ctx, n)
		if err == nil {
			reserved += n
		}
		return err
	}))
	for {
		e, err := events.Read()
		if errors.Is(err, io.EOF) {
			return s.complete(a, x.Response)
		}
		if err != nil {
			return streamBroken, err.Error()
		}
		if err := s.forward(a, x.Response, e, events.Buffered() == 0); err != nil {
			if errors.Is(err, errCallerGone) {
				return streamCallerGone, err.Error()
			}
			return streamBroken, err.Error()
		}
	}
}
