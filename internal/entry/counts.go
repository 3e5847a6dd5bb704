package entry

import (
	"expvar"
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/pkg/caller"
)

// counts holds the entry's metrics. They are not published in the global expvar
// namespace, because one process can run several entries.
type counts struct {
	all            *expvar.Map
	requests       *expvar.Int
	whole          *expvar.Int
	tokens         *expvar.Int
	retries        *expvar.Int
	requestSeconds *expvar.Float
	refusals       *expvar.Map
	plain          *expvar.Map
}

func newCounts() *counts {
	c := &counts{
		all:            new(expvar.Map).Init(),
		requests:       new(expvar.Int),
		whole:          new(expvar.Int),
		tokens:         new(expvar.Int),
		retries:        new(expvar.Int),
		requestSeconds: new(expvar.Float),
		refusals:       new(expvar.Map).Init(),
		plain:          new(expvar.Map).Init(),
	}
	c.all.Set("model-requests", c.requests)
	c.all.Set("whole-answers", c.whole)
	c.all.Set("tokens", c.tokens)
	c.all.Set("retries", c.retries)
	c.all.Set("model-request-seconds", c.requestSeconds)
	c.all.Set("refusals", c.refusals)
	c.all.Set("plain-calls", c.plain)
	return c
}

// served records a finished model request. The error is nil if the response was
// complete.
func (c *counts) served(g *generation, refused *caller.Error, took time.Duration) {
	c.requests.Add(1)
	c.tokens.Add(int64(g.tokens))
	c.retries.Add(int64(max(0, g.attempts-1)))
	c.requestSeconds.Add(took.Seconds())
	if refused == nil {
		c.whole.Add(1)
	}
}

// refused counts a rejected request by its error code.
func (c *counts) refused(e *caller.Error) {
	c.refusals.Add(e.Code, 1)
}

// call counts a plain service call by its run state.
func (c *counts) call(run caller.RunState) {
	c.plain.Add(string(run), 1)
}
