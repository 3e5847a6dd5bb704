package gateway

import (
	"fmt"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/hibiscuspulley/hibiscuspulley/internal/dispatch"
	"github.com/hibiscuspulley/hibiscuspulley/internal/event"
	"github.com/hibiscuspulley/hibiscuspulley/internal/routes"
)

// logOutcome writes the single log entry about a request's outcome. An empty
// reason means success; only then is the duration added to the metrics. A
// status of 0 means that the caller disconnected.
func (g *Gateway) logOutcome(c *call, status int, reason string) {
	fields := g.outcomeFields(c, status)
	if reason == "" {
		g.metrics.served.observe(time.Since(c.started))
		event.RequestServed.Log(g.logger, fields)
		return
	}
	fields["reason"] = reason
	event.RequestFailed.Log(g.logger, fields)
}

// logCut writes the log entry about a stream that is cut. Unlike other outcomes, the log
// never drops it.
func (g *Gateway) logCut(c *call, reason string) {
	g.metrics.cut.Add(1)
	fields := g.outcomeFields(c, http.StatusOK)
	fields["reason"], fields["idle-ms"] = reason, time.Since(c.lastAt).Milliseconds()
	event.StreamCut.Log(g.logger, fields)
}

// outcomeFields returns the log fields of a request that has ended.
func (g *Gateway) outcomeFields(c *call, status int) logrus.Fields {
	fields := logrus.Fields{
		"request": c.info.ID, "status": status, "ms": time.Since(c.started).Milliseconds(),
	}
	if c.route != nil {
		fields["route"] = c.route.Name
		fields["config"] = c.table.Config.Version
	}
	if c.organisation != nil {
		fields["organisation"] = c.organisation.Name
	}
	if notes := c.notes(); notes != "" {
		fields["attempts"] = notes
	}
	if c.delivered > 0 {
		fields["events"] = c.delivered
		fields["first-ms"], fields["pause-ms"] = c.firstAfter.Milliseconds(), c.longestPause.Milliseconds()
	}
	if c.queued >= time.Millisecond {
		fields["queued-ms"] = c.queued.Milliseconds()
	}
	if c.route != nil && c.sent == 0 && status == http.StatusServiceUnavailable {
		g.addCapacity(fields, c)
		g.addPrediction(fields, c)
	}
	return fields
}

// addCapacity adds the current load and capacity of the request's servers to
// the log fields of a rejected request.
func (g *Gateway) addCapacity(fields logrus.Fields, c *call) {
	requirements := dispatch.Requirements{Service: c.service}
	if c.route.Kind == routes.Streaming {
		requirements.Model = c.info.Model
	}
	capacity := g.balancer.Capacity(time.Now(), g.bootClock(), requirements)
	fields["servers"], fields["silent"], fields["full"] = capacity.Servers, capacity.Unresponsive, capacity.Full
	fields["limited"] = capacity.Limited
	fields["in-flight"], fields["waiting"] = capacity.InFlight, g.queues.Queue(c.service, requirements.Model).Length()
	fields["view"], fields["view-age-ms"] = capacity.ViewVersion, capacity.ViewAge.Milliseconds()
	fields["config-age-ms"] = g.bootClock().Sub(g.configCache.confirmedAt()).Milliseconds()
}

// logPanic logs a panic of the handler, which must call it directly by defer. The
// connection is closed without a response.
func (g *Gateway) logPanic(c *call) {
	cause := recover()
	if cause == nil {
		return
	}
	if err, ok := cause.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
		g.logPanicCause(c, cause, debug.Stack())
	}
	panic(http.ErrAbortHandler)
}

// logPanicCause logs a panic that came while the request was handled.
func (g *Gateway) logPanicCause(c *call, cause any, stack []byte) {
	event.HandlerPanicked.Log(g.logger, logrus.Fields{
		"request": c.info.ID, "cause": fmt.Sprint(cause), "attempts": c.notes(), "stack": string(stack),
	})
}
