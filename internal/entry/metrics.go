package entry

import (
	"expvar"
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/pkg/caller"
)

// metrics holds the entry's metrics. They are not published in the global expvar
// namespace, because one process can run several entries.
type metrics struct {
	vars           *expvar.Map
	requests       *expvar.Int
	completed      *expvar.Int
	tokens         *expvar.Int
	retries        *expvar.Int
	requestSeconds *expvar.Float
	rejections     *expvar.Map
	plainCalls     *expvar.Map
}

func newMetrics() *metrics {
	c := &metrics{
		vars:           new(expvar.Map).Init(),
		requests:       new(expvar.Int),
		completed:      new(expvar.Int),
		tokens:         new(expvar.Int),
		retries:        new(expvar.Int),
		requestSeconds: new(expvar.Float),
		rejections:     new(expvar.Map).Init(),
		plainCalls:     new(expvar.Map).Init(),
	}
	c.vars.Set("model-requests", c.requests)
	c.vars.Set("whole-answers", c.completed)
	c.vars.Set("tokens", c.tokens)
	c.vars.Set("retries", c.retries)
	c.vars.Set("model-request-seconds", c.requestSeconds)
	c.vars.Set("refusals", c.rejections)
	c.vars.Set("plain-calls", c.plainCalls)
	return c
}

// recordModelRequest records a finished model request. The error is nil if the
// response was complete.
func (c *metrics) recordModelRequest(g *generation, callerErr *caller.Error, took time.Duration) {
	c.requests.Add(1)
	c.tokens.Add(int64(g.tokens))
	c.retries.Add(int64(max(0, g.attempts-1)))
	c.requestSeconds.Add(took.Seconds())
	if callerErr == nil {
		c.completed.Add(1)
	}
}

// recordRejection counts a rejected request by its error code.
func (c *metrics) recordRejection(e *caller.Error) {
	c.rejections.Add(e.Code, 1)
}

// recordPlainCall counts a plain service call by its run state.
func (c *metrics) recordPlainCall(run caller.RunState) {
	c.plainCalls.Add(string(run), 1)
}
