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

	"github.com/hibiscuspulley/hibiscuspulley/internal/event"
	"github.com/hibiscuspulley/hibiscuspulley/internal/retry"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/caller"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/engine"
)

const (
	// defaultCost is the expected number of tokens of a response without a
	// token limit.
	defaultCost = 256
	// cancelTimeout bounds the call that cancels an attempt at its engine.
	cancelTimeout = time.Second
	// abandonTime is how long an engine keeps running an attempt that lost its
	// connection and was not cancelled.
	abandonTime = 3 * time.Second
)

// generation runs one model request, retrying it on other targets when an
// attempt fails. The caller receives every token exactly once, even if replicas
// fail during the response.
type generation struct {
	logger  *logrus.Logger
	engines *engine.Client
	router  *router
	budget  *retry.Budget
	share   int

	request *modelRequest
	need    need
	path    string
	chat    bool
	model   string
	id      string
	// publicID is the id in all chunks that the caller receives.
	publicID string
	created  int64
	out      sink

	// startedAt is when the request arrived.
	startedAt time.Time
	// firstAt and lastAt are when the first and the latest token were delivered.
	firstAt time.Time
	lastAt  time.Time

	attempts int
	// text is the delivered text, and tokens the number of delivered tokens.
	text   strings.Builder
	tokens int
	// finished is true once the last chunk was delivered, so that only the end
	// marker is missing.
	finished bool
	run      caller.RunState
}

// answerID returns the id field of all chunks of the response.
func (g *generation) answerID() string {
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
// returns nil if the response was delivered or the caller disconnected.
func (g *generation) serve(ctx context.Context) *caller.Error {
	g.budget.Request(g.share)
	for {
		t, refused := g.router.acquire(ctx, g.need)
		if refused != nil {
			refused.Run = g.run
			return refused
		}
		err := g.attempt(ctx, t)
		if err == nil || ctx.Err() != nil || errors.Is(err, errCallerGone) {
			return g.callerLeft(ctx, err)
		}
		if refused := g.afterFailure(t, err); refused != nil {
			return refused
		}
	}
}

// callerLeft returns an error if the request timed out, and nil if it succeeded
// or the caller disconnected.
func (g *generation) callerLeft(ctx context.Context, err error) *caller.Error {
	if err == nil || errors.Is(ctx.Err(), context.Canceled) {
		return nil
	}
	return &caller.Error{
		Status: http.StatusGatewayTimeout, Code: "timeout",
		Message: "the request exceeded the request timeout of the configuration", Run: g.run,
	}
}

// afterFailure prepares a retry after a failed attempt. It returns the error for
// the caller if the request must not be retried. An attempt that was not run by
// the engine does not count against the retry budget.
func (g *generation) afterFailure(t target, err error) *caller.Error {
	var status *engine.StatusError
	isStatus := errors.As(err, &status)
	costFree := errors.Is(err, engine.ErrNotReached) || isStatus && status.NotRun
	if isStatus && !status.NotRun && status.Status < http.StatusInternalServerError {
		return g.rejected(status)
	}
	event.StreamResumed.Log(g.logger, logrus.Fields{
		"request": g.id, "from": t.group, "tokens": g.tokens, "error": err,
	})
	if !costFree && !g.budget.Retry() {
		return &caller.Error{
			Status: http.StatusBadGateway, Code: "retry-budget",
			Message: "the replica group failed and the retry budget of the service is exhausted; try again later",
			Run:     g.run, RetryAfter: retryAfter,
		}
	}
	g.need.avoid[t.group] = time.Now().Add(avoidTime)
	g.need.retry = true
	return nil
}

// rejected returns the error for a request that the engine rejected as invalid.
func (g *generation) rejected(status *engine.StatusError) *caller.Error {
	return &caller.Error{
		Status: status.Status, Code: "rejected",
		Message: "the model engine rejected the request: " + string(bytes.TrimSpace(status.Body)),
		Run:     g.run,
	}
}

// attempt sends the request to one target and delivers the response stream. It
// resumes a truncated stream once.
func (g *generation) attempt(ctx context.Context, t target) error {
	if g.whole() {
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
		Priority: g.need.priority, Header: t.header,
	}
	served := g.tokens
	last, err := g.relay(ctx, t, request)
	if errors.Is(err, engine.ErrTruncated) && ctx.Err() == nil && last >= 0 {
		err = g.resume(ctx, t, request, last)
	}
	g.router.served(g.need, g.tokens-served)
	if err == nil || errors.Is(err, engine.ErrNotReached) {
		g.release(t)
		return err
	}
	g.cancelAt(t, request.ID)
	return err
}

// resume resumes a truncated stream at the same replica, after the last received
// event. It returns an error status as ErrTruncated, because the response can
// still be continued on another target.
func (g *generation) resume(ctx context.Context, t target, request engine.Request, last int) error {
	request.ResumeAfter = &last
	_, err := g.relay(ctx, t, request)
	var status *engine.StatusError
	if errors.As(err, &status) {
		return errors.Wrap(engine.ErrTruncated, err.Error())
	}
	return err
}

// release returns the target's credit and starts queued requests.
func (g *generation) release(t target) {
	t.release()
	g.router.pump()
}

// engineModel returns the model name in the request to the target. Another entry
// expects the service name, an engine its own model name.
func (g *generation) engineModel(t target) string {
	if t.ticket == nil {
		return g.model
	}
	return g.need.service.EngineModel()
}

// whole reports whether all text was delivered, so that only the end of the
// response is missing.
func (g *generation) whole() bool {
	return g.finished || g.request.maxTokens > 0 && g.tokens >= g.request.maxTokens
}

// finish delivers the end of a response whose text is complete.
func (g *generation) finish() error {
	if g.finished {
		return g.out.end(g)
	}
	if err := g.out.event(finishChunk(g), chunk{finish: "length"}); err != nil {
		return err
	}
	return g.out.end(g)
}

// relay opens a stream and delivers its events to the caller. It returns the
// index of the last event, or -1 without one.
func (g *generation) relay(ctx context.Context, t target, request engine.Request) (int, error) {
	stream, err := g.engines.Generate(ctx, t.address, request)
	if err != nil {
		g.noteSent(err)
		return -1, err
	}
	defer stream.Close()
	if g.run == caller.NotRun {
		g.run = caller.MayHaveRun
	}
	g.out.open()
	var pace pacer
	for {
		data, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return stream.Last(), g.out.end(g)
		}
		if err != nil {
			_ = g.out.flush()
			g.noteWrongEvent(t, err)
			return stream.Last(), err
		}
		if err := g.deliver(t, data, request.ID); err != nil {
			return stream.Last(), err
		}
		if !stream.Buffered() {
			if err := g.out.flush(); err != nil {
				return stream.Last(), errors.Wrap(errCallerGone, err.Error())
			}
			pace.wait(time.Now())
		}
	}
}

// errCallerGone means that writing the response to the caller failed.
var errCallerGone = errors.New("writing the response to the caller failed")

// noteSent updates the run state after a failed send: unless the engine was not
// reached or reported that it did not run the request, it may have run.
func (g *generation) noteSent(err error) {
	var status *engine.StatusError
	if errors.Is(err, engine.ErrNotReached) || errors.As(err, &status) && status.NotRun {
		return
	}
	if g.run == caller.NotRun {
		g.run = caller.MayHaveRun
	}
}

// noteWrongEvent logs an event that does not belong to the response.
func (g *generation) noteWrongEvent(t target, err error) {
	if errors.Is(err, engine.ErrWrongEvent) {
		event.AnswerRejected.Log(g.logger, logrus.Fields{"request": g.id, "group": t.group, "error": err})
	}
}

// deliver passes one event to the caller and records its text for a later
// continuation. The attempt's id is replaced by the public one.
func (g *generation) deliver(t target, data []byte, attemptID string) error {
	c, err := parseChunk(data)
	if err != nil {
		return errors.Wrap(engine.ErrWrongEvent, err.Error())
	}
	if c.text != "" {
		g.text.WriteString(c.text)
		g.noteToken(t, time.Now())
	}
	g.finished = g.finished || c.finish != ""
	g.run = caller.Ran
	if attemptID != g.publicID {
		data = bytes.Replace(data, []byte(attemptID), []byte(g.publicID), 1)
	}
	return g.out.event(data, c)
}

// noteToken counts a token and records when it was delivered.
func (g *generation) noteToken(t target, now time.Time) {
	if g.tokens == 0 {
		g.firstAt = now
	}
	g.lastAt = now
	g.tokens++
	g.router.permits.Token(t.group, now)
}

// firstToken returns the time to the first token.
func (g *generation) firstToken() time.Duration {
	return g.firstAt.Sub(g.startedAt)
}

// betweenTokens returns the mean time between consecutive tokens.
func (g *generation) betweenTokens() time.Duration {
	return g.lastAt.Sub(g.firstAt) / time.Duration(max(1, g.tokens-1))
}

// cancelAt cancels an attempt at its engine and then releases its credit. The
// credit is released only afterwards, because the attempt occupies the engine
// until it is cancelled. If the cancellation fails, the engine ends the attempt
// by itself after abandonTime.
func (g *generation) cancelAt(t target, attemptID string) {
	if t.ticket == nil {
		return // the remote entry notices that the connection was closed
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
