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
	m := &metrics{
		vars:           new(expvar.Map).Init(),
		requests:       new(expvar.Int),
		completed:      new(expvar.Int),
		tokens:         new(expvar.Int),
		retries:        new(expvar.Int),
		requestSeconds: new(expvar.Float),
		rejections:     new(expvar.Map).Init(),
		plainCalls:     new(expvar.Map).Init(),
	}
	m.vars.Set("model-requests", m.requests)
	m.vars.Set("whole-answers", m.completed)
	m.vars.Set("tokens", m.tokens)
	m.vars.Set("retries", m.retries)
	m.vars.Set("model-request-seconds", m.requestSeconds)
	m.vars.Set("refusals", m.rejections)
	m.vars.Set("plain-calls", m.plainCalls)
	return m
}

// recordModelRequest records a finished model request. A request without an error
// counts as completed, also if its caller disconnected during the response.
func (m *metrics) recordModelRequest(g *generation, callerErr *caller.Error, took time.Duration) {
	m.requests.Add(1)
	m.tokens.Add(int64(g.tokens))
	m.retries.Add(int64(max(0, g.attempts-1)))
	m.requestSeconds.Add(took.Seconds())
	if callerErr == nil {
		m.completed.Add(1)
	}
}

// recordRejection counts an error reply to a caller by its error code. Errors that
// are sent in a response that has already started are not counted.
func (m *metrics) recordRejection(e *caller.Error) {
	m.rejections.Add(e.Code, 1)
}

// recordPlainCall counts a plain service call by its run state.
func (m *metrics) recordPlainCall(run caller.RunState) {
	m.plainCalls.Add(string(run), 1)
}
