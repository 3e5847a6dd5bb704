package entry

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/hibiscuspulley/hibiscuspulley/internal/connlimit"
	"github.com/hibiscuspulley/hibiscuspulley/internal/event"
	"github.com/hibiscuspulley/hibiscuspulley/internal/retry"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/caller"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/engine"
)

const (
	// defaultCostTokens is the expected number of tokens of a response without a
	// token limit.
	defaultCostTokens = 256
	// cancelTimeout bounds the call that cancels an attempt at its engine.
	cancelTimeout = time.Second
	// abandonTime is how long an engine keeps running an attempt that lost its
	// connection and was not cancelled.
	abandonTime = 3 * time.Second
)

// generation runs one model request. When an attempt fails, it retries the request
// on other targets. The caller receives every token exactly once, even if replicas
// fail during the response.
type generation struct {
	logger       *logrus.Logger
	engines      *engine.Client
	router       *router
	budget       *retry.Budget
	retryPercent int

	request      *modelRequest
	requirements requirements
	path         string
	chat         bool
	model        string
	// id is the request id. The id of an attempt is derived from it.
	id string
	// publicID is the id in all chunks that the caller receives.
	publicID string
	// created is the Unix time in seconds that the chunks state.
	created int64
	sink    sink
	// memory is what the request reserves of the memory for clients.
	memory *clientMemory
	// textReserved is the memory that is reserved for the delivered text.
	textReserved int64

	// receivedAt is when the request arrived.
	receivedAt time.Time
	// firstTokenAt and lastTokenAt are when the first and the latest token were
	// delivered.
	firstTokenAt time.Time
	lastTokenAt  time.Time

	attempts int
	// text is the delivered text. tokens is the number of delivered events with
	// text; each counts as one token.
	text   strings.Builder
	tokens int
	// lastChunkSent is true once the last chunk was delivered, so that only the
	// end marker is missing.
	lastChunkSent bool
	runState      caller.RunState
}

// responseID returns the id field of all chunks of the response.
func (g *generation) responseID() string {
	if g.chat {
		return "chatcmpl-" + g.publicID
	}
	return "cmpl-" + g.publicID
}

// attemptID returns the request id of the nth attempt, counted from 1.
func (g *generation) attemptID(n int) string {
	return g.id + "." + strconv.Itoa(n)
}

// serve runs attempts until the response is complete or no retry is allowed. It
// returns nil if the response was delivered, or if the caller disconnected during
// an attempt. If ctx ends while the request is queued, it returns the error of
// acquire, whether the caller disconnected or the request timed out.
func (g *generation) serve(ctx context.Context) *caller.Error {
	g.budget.RecordRequest(g.retryPercent)
	for {
		t, callerErr := g.router.acquire(ctx, g.requirements)
		if callerErr != nil {
			callerErr.Run = g.runState
			return callerErr
		}
		err := g.attempt(ctx, t)
		if errors.Is(err, connlimit.ErrNoMemory) {
			return g.noTextMemory()
		}
		if err == nil || ctx.Err() != nil || errors.Is(err, errCallerDisconnected) {
			return g.timeoutError(ctx, err)
		}
		if callerErr := g.prepareRetry(t, err); callerErr != nil {
			return callerErr
		}
	}
}

// timeoutError returns nil if the request succeeded or its context was cancelled,
// and otherwise the error of a timeout. net/http cancels the context when the
// caller disconnects or a write to the caller fails.
func (g *generation) timeoutError(ctx context.Context, err error) *caller.Error {
	if err == nil || errors.Is(ctx.Err(), context.Canceled) {
		return nil
	}
	return &caller.Error{
		Status: http.StatusGatewayTimeout, Code: "timeout",
		Message: "the request exceeded the request timeout of the configuration", Run: g.runState,
	}
}

// prepareRetry prepares a retry after a failed attempt. It returns the error for
// the caller if the request must not be retried: the engine rejected it, or the
// retry budget is exhausted. A retry after an attempt that the engine did not run
// does not use the budget. StreamResumed is logged before the budget is checked.
func (g *generation) prepareRetry(t target, err error) *caller.Error {
	var status *engine.StatusError
	isStatus := errors.As(err, &status)
	notRun := errors.Is(err, engine.ErrNotReached) || isStatus && status.NotRun
	if isStatus && !status.NotRun && status.Status < http.StatusInternalServerError {
		return g.engineRejection(status)
	}
	event.StreamResumed.Log(g.logger, logrus.Fields{
		"request": g.id, "from": t.group, "tokens": g.tokens, "error": err,
	})
	if !notRun && !g.budget.AllowRetry() {
		return &caller.Error{
			Status: http.StatusBadGateway, Code: "retry-budget",
			Message: "the replica group failed and the retry budget of the service is exhausted; try again later",
			Run:     g.runState, RetryAfter: retryAfter,
		}
	}
	g.requirements.avoidUntil[t.group] = time.Now().Add(avoidDuration)
	g.requirements.retry = true
	return nil
}

// engineRejection returns the error for a request that the engine rejected with a
// status below 500.
func (g *generation) engineRejection(status *engine.StatusError) *caller.Error {
	return &caller.Error{
		Status: status.Status, Code: "rejected",
		Message: "the model engine rejected the request: " + string(bytes.TrimSpace(status.Body)),
		Run:     g.runState,
	}
}

// attempt sends the request to one target and delivers the response stream. It
// resumes a truncated stream once. If all text was delivered before, it only
// delivers the end of the response and sends nothing to the target. The target's
// credit is released, in the background if the attempt must be cancelled first.
func (g *generation) attempt(ctx context.Context, t target) error {
	if g.textComplete() {
		g.release(t)
		return g.finish()
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	t.onAbort(cancel)
	g.attempts++
	request := engine.Request{
		Path: t.pathPrefix + g.path, ID: g.attemptID(g.attempts), Generation: t.generation,
		Body:     g.request.body(g.engineModel(t), g.text.String(), g.tokens),
		Priority: g.requirements.priority, Header: t.header,
	}
	tokensBefore := g.tokens
	last, err := g.deliverStream(ctx, t, request)
	if errors.Is(err, engine.ErrTruncated) && ctx.Err() == nil && last >= 0 {
		err = g.resume(ctx, t, request, last)
	}
	g.router.chargeTokens(g.requirements, g.tokens-tokensBefore)
	if err == nil || errors.Is(err, engine.ErrNotReached) {
		g.release(t)
		return err
	}
	g.cancelAttempt(t, request.ID)
	return err
}

// resume resumes a truncated stream at the same replica, after the last received
// event. It returns an error status as ErrTruncated, because the response can
// still be continued on another target.
func (g *generation) resume(ctx context.Context, t target, request engine.Request, last int) error {
	request.ResumeAfter = &last
	_, err := g.deliverStream(ctx, t, request)
	var status *engine.StatusError
	if errors.As(err, &status) {
		return errors.Wrap(engine.ErrTruncated, err.Error())
	}
	return err
}

// release returns the target's credit and starts queued requests.
func (g *generation) release(t target) {
	t.release()
	g.router.dispatchQueued()
}

// engineModel returns the model name in the request to the target. Another entry
// expects the service name, an engine its own model name.
func (g *generation) engineModel(t target) string {
	if t.reservation == nil {
		return g.model
	}
	return g.requirements.service.EngineModel()
}

// textComplete reports whether all text was delivered, so that only the end of
// the response is missing.
func (g *generation) textComplete() bool {
	return g.lastChunkSent || g.request.maxTokens > 0 && g.tokens >= g.request.maxTokens
}

// finish delivers the end of a response whose text is complete.
func (g *generation) finish() error {
	if g.lastChunkSent {
		return g.sink.end(g)
	}
	if err := g.sink.event(finishChunk(g), chunk{finishReason: "length"}); err != nil {
		return err
	}
	return g.sink.end(g)
}

// deliverStream opens a stream and delivers its events to the caller. It returns
// the index of the last event received, or -1 if there was none. In a resumed
// stream, the events before the truncation count too. The error is nil if the
// response was delivered to its end.
func (g *generation) deliverStream(ctx context.Context, t target, request engine.Request) (int, error) {
	stream, err := g.engines.Generate(ctx, t.address, request)
	if err != nil {
		g.recordSendError(err)
		return -1, err
	}
	defer stream.Close()
	if g.runState == caller.NotRun {
		g.runState = caller.MayHaveRun
	}
	g.sink.open()
	var pace pacer
	for {
		data, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return stream.Last(), g.sink.end(g)
		}
		if err != nil {
			_ = g.sink.flush()
			g.logWrongEvent(t, err)
			return stream.Last(), err
		}
		if err := g.deliver(t, data, request.ID); err != nil {
			return stream.Last(), err
		}
		if !stream.Buffered() {
			if err := g.sink.flush(); err != nil {
				return stream.Last(), errors.Wrap(errCallerDisconnected, err.Error())
			}
			pace.wait(time.Now())
		}
	}
}

// errCallerDisconnected means that writing the response to the caller failed.
var errCallerDisconnected = errors.New("writing the response to the caller failed")

// recordSendError updates the run state after a failed send: unless the engine
// was not reached or reported that it did not run the request, it may have run.
func (g *generation) recordSendError(err error) {
	var status *engine.StatusError
	if errors.Is(err, engine.ErrNotReached) || errors.As(err, &status) && status.NotRun {
		return
	}
	if g.runState == caller.NotRun {
		g.runState = caller.MayHaveRun
	}
}

// logWrongEvent logs the error if it is ErrWrongEvent, and ignores others.
func (g *generation) logWrongEvent(t target, err error) {
	if errors.Is(err, engine.ErrWrongEvent) {
		event.WrongEventRejected.Log(g.logger, logrus.Fields{"request": g.id, "group": t.group, "error": err})
	}
}

// deliver passes one event to the sink and records its text, after which another
// attempt can continue. It replaces the attempt's id by the public one. For an
// error event, or an event that can't be parsed, it returns ErrWrongEvent.
func (g *generation) deliver(t target, data []byte, attemptID string) error {
	c, err := parseChunk(data)
	if err != nil {
		return errors.Wrap(engine.ErrWrongEvent, err.Error())
	}
	if c.text != "" {
		if err := g.reserveText(len(c.text)); err != nil {
			return err
		}
		g.text.WriteString(c.text)
		g.recordToken(t, time.Now())
	}
	g.lastChunkSent = g.lastChunkSent || c.finishReason != ""
	g.runState = caller.Ran
	if attemptID != g.publicID {
		data = bytes.Replace(data, []byte(attemptID), []byte(g.publicID), 1)
	}
	return g.sink.event(data, c)
}

// recordToken counts a token and records when it was delivered. It also records
// that the group made progress, so that the group does not count as stalled.
func (g *generation) recordToken(t target, now time.Time) {
	if g.tokens == 0 {
		g.firstTokenAt = now
	}
	g.lastTokenAt = now
	g.tokens++
	g.router.permits.RecordToken(t.group, now)
}

// timeToFirstToken returns the time from the request's arrival to its first token.
// It is meaningless before that token.
func (g *generation) timeToFirstToken() time.Duration {
	return g.firstTokenAt.Sub(g.receivedAt)
}

// meanTokenInterval returns the mean time between consecutive tokens; 0 if there
// are fewer than two.
func (g *generation) meanTokenInterval() time.Duration {
	return g.lastTokenAt.Sub(g.firstTokenAt) / time.Duration(max(1, g.tokens-1))
}

// cancelAttempt cancels an attempt at its engine in the background, and then
// releases its credit. It does nothing for an entry of another zone. The credit is
// released only afterwards, because the attempt occupies the engine until it is
// cancelled. If the cancellation fails, the engine ends the attempt by itself
// after abandonTime.
func (g *generation) cancelAttempt(t target, attemptID string) {
	if t.reservation == nil {
		return // the remote entry detects that the connection was closed
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		if g.engines.Cancel(ctx, t.address, attemptID) != nil {
			time.Sleep(abandonTime)
		}
		g.release(t)
	}()
}
