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
	// defaultCost is the expected length of an answer without a bound.
	defaultCost = 256
	// cancelTimeout bounds the telling of an engine that an attempt is over.
	cancelTimeout = time.Second
	// abandonTime is how long an engine keeps an attempt that lost its
	// connection and was not cancelled.
	abandonTime = 3 * time.Second
)

// generation carries one model request through its attempts. The caller gets
// every token once, whatever happens to the replicas in between.
type generation struct {
	logger  *logrus.Logger
	engines *engine.Client
	router  *router
	budget  *retry.Budget
	share   int

	request      *modelRequest
	requirements requirements
	path         string
	chat         bool
	model        string
	id           string
	// publicID is the id that the caller sees in all chunks.
	publicID string
	created  int64
	out      sink

	// startedAt is when the request arrived; the others are when tokens were
	// passed on.
	startedAt time.Time
	firstAt   time.Time
	lastAt    time.Time

	attempts int
	text     strings.Builder
	tokens   int
	// finished says that the last chunk was delivered and only the end
	// marker is missing.
	finished bool
	run      caller.RunState
}

// answerID returns the id that all chunks of the answer carry.
func (g *generation) answerID() string {
	if g.chat {
		return "chatcmpl-" + g.publicID
	}
	return "cmpl-" + g.publicID
}

// attemptID returns the identifier of an attempt, counted from 1.
func (g *generation) attemptID(n int) string {
	return g.id + "." + strconv.Itoa(n)
}

// serve runs attempts until the answer is whole or must be given up. It
// returns nil when the answer was delivered or the caller has left.
func (g *generation) serve(ctx context.Context) *caller.Error {
	g.budget.RecordRequest(g.share)
	for {
		t, refused := g.router.acquire(ctx, g.requirements)
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

// callerLeft tells a caller's leaving or timeout from success.
func (g *generation) callerLeft(ctx context.Context, err error) *caller.Error {
	if err == nil || errors.Is(ctx.Err(), context.Canceled) {
		return nil
	}
	return &caller.Error{
		Status: http.StatusGatewayTimeout, Code: "timeout",
		Message: "the request took longer than the fleet's request timeout", Run: g.run,
	}
}

// afterFailure decides whether another attempt may follow. It returns the
// refusal if not.
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
	if !costFree && !g.budget.AllowRetry() {
		return &caller.Error{
			Status: http.StatusBadGateway, Code: "retry-budget",
			Message: "the replica group failed, and too many requests are being retried already",
			Run:     g.run, RetryAfter: retryAfter,
		}
	}
	g.requirements.avoid[t.group] = time.Now().Add(avoidTime)
	g.requirements.retry = true
	return nil
}

// rejected passes an engine's refusal of the request itself on.
func (g *generation) rejected(status *engine.StatusError) *caller.Error {
	return &caller.Error{
		Status: status.Status, Code: "rejected",
		Message: "the model engine refused the request: " + string(bytes.TrimSpace(status.Body)),
		Run:     g.run,
	}
}

// attempt sends the request to one target and delivers what comes back.
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
		Priority: g.requirements.priority, Header: t.header,
	}
	served := g.tokens
	last, err := g.relay(ctx, t, request)
	if errors.Is(err, engine.ErrTruncated) && ctx.Err() == nil && last >= 0 {
		err = g.resume(ctx, t, request, last)
	}
	g.router.served(g.requirements, g.tokens-served)
	if err == nil || errors.Is(err, engine.ErrNotReached) {
		g.release(t)
		return err
	}
	g.cancelAt(t, request.ID)
	return err
}

// resume continues a broken stream at the same replica, behind the last event.
// Whatever goes wrong then, the answer is continued elsewhere.
func (g *generation) resume(ctx context.Context, t target, request engine.Request, last int) error {
	request.ResumeAfter = &last
	_, err := g.relay(ctx, t, request)
	var status *engine.StatusError
	if errors.As(err, &status) {
		return errors.Wrap(engine.ErrTruncated, err.Error())
	}
	return err
}

// release gives the target's credit back.
func (g *generation) release(t target) {
	t.release()
	g.router.pump()
}

// engineModel returns the model name that the target knows.
func (g *generation) engineModel(t target) string {
	if t.ticket == nil {
		return g.model
	}
	return g.requirements.service.EngineModel()
}

// whole reports whether the caller has all the text it asked for, so that
// only the end is missing.
func (g *generation) whole() bool {
	return g.finished || g.request.maxTokens > 0 && g.tokens >= g.request.maxTokens
}

func (g *generation) finish() error {
	if g.finished {
		return g.out.end(g)
	}
	if err := g.out.event(finishChunk(g), chunk{finish: "length"}); err != nil {
		return err
	}
	return g.out.end(g)
}

// relay delivers one stream. It returns the number of the last event.
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

// errCallerGone means that the caller takes no more of the answer.
var errCallerGone = errors.New("the caller can't be written to")

// noteSent takes over what a failed send says about the request's state.
func (g *generation) noteSent(err error) {
	var status *engine.StatusError
	if errors.Is(err, engine.ErrNotReached) || errors.As(err, &status) && status.NotRun {
		return
	}
	if g.run == caller.NotRun {
		g.run = caller.MayHaveRun
	}
}

func (g *generation) noteWrongEvent(t target, err error) {
	if errors.Is(err, engine.ErrWrongEvent) {
		event.AnswerRejected.Log(g.logger, logrus.Fields{"request": g.id, "group": t.group, "error": err})
	}
}

// deliver passes one event on and remembers its text.
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

func (g *generation) noteToken(t target, now time.Time) {
	if g.tokens == 0 {
		g.firstAt = now
	}
	g.lastAt = now
	g.tokens++
	g.router.permits.RecordToken(t.group, now)
}

// timeToFirstToken returns the time to the first token.
func (g *generation) timeToFirstToken() time.Duration {
	return g.firstAt.Sub(g.startedAt)
}

// meanTokenInterval returns the mean time between two tokens.
func (g *generation) meanTokenInterval() time.Duration {
	return g.lastAt.Sub(g.firstAt) / time.Duration(max(1, g.tokens-1))
}

// cancelAt tells the engine that nobody waits for the attempt any more. The
// credit is given back only then, since the engine bears the attempt until it
// knows; an engine that can't be told drops the attempt by itself.
func (g *generation) cancelAt(t target, attemptID string) {
	if t.ticket == nil {
		return // the entry there sees the connection close
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
