package entry

import (
	"expvar"
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/pkg/caller"
)

// metrics holds the entry's metrics. They are not published globally, so that
// one process can run several entries.
type metrics struct {
	vars           *expvar.Map
	requests       *expvar.Int
	whole          *expvar.Int
	tokens         *expvar.Int
	retries        *expvar.Int
	requestSeconds *expvar.Float
	refusals       *expvar.Map
	plain          *expvar.Map
}

func newCounts() *metrics {
	c := &metrics{
		vars:           new(expvar.Map).Init(),
		requests:       new(expvar.Int),
		whole:          new(expvar.Int),
		tokens:         new(expvar.Int),
		retries:        new(expvar.Int),
		requestSeconds: new(expvar.Float),
		refusals:       new(expvar.Map).Init(),
		plain:          new(expvar.Map).Init(),
	}
	c.vars.Set("model-requests", c.requests)
	c.vars.Set("whole-answers", c.whole)
	c.vars.Set("tokens", c.tokens)
	c.vars.Set("retries", c.retries)
	c.vars.Set("model-request-seconds", c.requestSeconds)
	c.vars.Set("refusals", c.refusals)
	c.vars.Set("plain-calls", c.plain)
	return c
}

// served counts a model request that ended.
func (c *metrics) served(g *generation, refused *caller.Error, took time.Duration) {
	c.requests.Add(1)
	c.tokens.Add(int64(g.tokens))
	c.retries.Add(int64(max(0, g.attempts-1)))
	c.requestSeconds.Add(took.Seconds())
	if refused == nil {
		c.whole.Add(1)
	}
}

// refused counts a refusal by its code.
func (c *metrics) refused(e *caller.Error) {
	c.refusals.Add(e.Code, 1)
}

// call counts a call of a plain service by what became of it.
func (c *metrics) call(run caller.RunState) {
	c.plain.Add(string(run), 1)
}
