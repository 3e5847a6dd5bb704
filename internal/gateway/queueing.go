package gateway

import (
	"maps"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hibiscuspulley/hibiscuspulley/internal/admission"
	"github.com/hibiscuspulley/hibiscuspulley/internal/dispatch"
	"github.com/hibiscuspulley/hibiscuspulley/internal/event"
	"github.com/hibiscuspulley/hibiscuspulley/internal/routes"
)

const (
	// maxRetryAfter limits the Retry-After value, because callers wait at most
	// a third of their remaining time. Queues that order by urgency use that third.
	maxRetryAfter = 1500 * time.Millisecond
	// earlyReturnInterval is the minimum time between two log lines about the early
	// returns of one organisation's callers.
	earlyReturnInterval = 10 * time.Second
	// maxToldPriority is the least urgent priority that servers can be told.
	maxToldPriority = 9
)

// orderQueues makes the queues order by urgency if the configuration distinguishes
// priorities or has objectives for streams.
func (g *Gateway) orderQueues(t *routes.Table) {
	c := t.Config
	differs := slices.ContainsFunc(c.Routes, func(r routes.Route) bool {
		return r.Priority != c.Routes[0].Priority || (r.Kind == routes.Streaming && r.Objective > 0)
	}) || slices.ContainsFunc(c.Organisations, func(o routes.Organisation) bool {
		return o.Priority != c.Organisations[0].Priority
	})
	if g.queues.SetByUrgency(differs) {
		event.QueueOrderChanged.Log(g.logger, logrus.Fields{"by-urgency": differs, "config": c.Version})
	}
}

// queuedRequest returns what the queue needs to know of the request.
func (g *Gateway) queuedRequest(c *call, model string, isRetry bool) dispatch.QueuedRequest {
	queued := dispatch.QueuedRequest{
		Priority: c.priority(), Urgency: c.urgency(), Cost: c.cost(), Retry: isRetry, Early: c.early,
		MaxWait: dispatch.MaxWait(time.Until(c.deadline)),
	}
	if !isRetry {
		queued.DueAt = c.dueAt(model)
	}
	if c.organisation != nil {
		queued.Organisation = c.organisation.Name
	}
	if !queued.DueAt.IsZero() && g.queues.ByUrgency() {
		queued.MaxWait = dispatch.MaxWaitByUrgency(time.Until(c.deadline), time.Until(queued.DueAt))
	}
	return queued
}

// urgency returns the request's place among those of other classes.
func (c *call) urgency() admission.Urgency {
	u := admission.Urgency{Route: c.route.Priority}
	if c.organisation != nil {
		u.Organisation = c.organisation.Priority
	}
	return u
}

// toldPriority returns the priority that servers are told; 0 is the most urgent. If
// queues order by urgency, it follows the priorities of the organisation, which is the
// higher digit, and of the route.
func (g *Gateway) toldPriority(c *call) int {
	if c.organisation == nil || !g.queues.ByUrgency() {
		return c.priority()
	}
	u := c.urgency()
	return min(3*clamp(u.Organisation, 3)+clamp(u.Route, 2), maxToldPriority)
}

func clamp(n, limit int) int { return min(max(n, 0), limit) }

// expectedWait returns how long the request is expected to wait for capacity.
func (g *Gateway) expectedWait(c *call, queue *dispatch.Queue, queued dispatch.QueuedRequest, r dispatch.Requirements) time.Duration {
	granted := g.limits.expectedWait(time.Now(), r, queued)
	if !g.queues.ByUrgency() {
		return max(queue.EstimateWait(queued.Organisation), granted)
	}
	c.prediction, c.predicted = queue.Predict(queued, func() float64 { return g.usualStartRate(r) }), true
	c.prediction.Wait = max(c.prediction.Wait, granted)
	return c.prediction.Wait
}

// usualStartRate returns how many requests of this entry the open groups can start in
// a second if all entries send as many. It is 0 for plain services.
func (g *Gateway) usualStartRate(r dispatch.Requirements) float64 {
	table := g.configCache.table.Load()
	if table == nil {
		return 0
	}
	service := table.Service(r.Service)
	if service == nil || service.Engine == nil {
		return 0
	}
	took := service.Engine.RequestTime(r.Model)
	if took <= 0 {
		return 0
	}
	groups := g.balancer.Capacity(time.Now(), g.bootClock(), r).Servers
	return float64(groups*service.Engine.Slots) / took.Seconds() / float64(g.entries())
}

// retryAfter returns the Retry-After of a request that is expected to wait for that
// long.
func (g *Gateway) retryAfter(c *call, wait time.Duration) time.Duration {
	if !g.queues.ByUrgency() {
		return min(wait, maxRetryAfter)
	}
	return dispatch.RetryAfter(max(wait, busyRetryAfter), time.Until(c.deadline), rand.Float64())
}

// finalRetryAfter returns the Retry-After of a request that no server accepted.
func (g *Gateway) finalRetryAfter(c *call) time.Duration {
	if c.predicted && c.retryAfter > 0 {
		return c.retryAfter
	}
	return max(c.retryAfter, busyRetryAfter)
}

// recordRejection counts a request that a queue which orders by urgency did not let
// run, and remembers when its caller may return.
func (g *Gateway) recordRejection(c *call, status int, retryAfter time.Duration) {
	if c.predicted && c.sent == 0 && status == http.StatusServiceUnavailable {
		g.metrics.rejected(g.toldPriority(c))
		g.returns.Told(time.Now(), c.callerRequest(), retryAfter)
	}
}

// addPrediction adds the last prediction of a rejected request's wait to its log
// fields, and what its starts are limited to.
func (g *Gateway) addPrediction(fields logrus.Fields, c *call) {
	if !c.predicted {
		return
	}
	if pace := g.balancer.Pace(c.info.Model); pace > 0 {
		fields["pace-per-second"] = math.Round(pace*10) / 10
	}
	ahead := make([]string, 0, len(c.prediction.Ahead))
	for _, u := range slices.SortedFunc(maps.Keys(c.prediction.Ahead), admission.Urgency.Compare) {
		ahead = append(ahead, u.String()+": "+strconv.Itoa(c.prediction.Ahead[u]))
	}
	fields["urgency"], fields["ahead"] = c.urgency().String(), strings.Join(ahead, ", ")
	fields["starts-per-second"] = c.prediction.StartRate
	fields["predicted-wait-ms"] = c.prediction.Wait.Milliseconds()
	if c.early {
		fields["early-return"] = true
	}
}

// callerRequest returns the ID that the request has in common with its caller's
// retries of it, or "" if they can't be recognised. IDs of prompt parts are the
// organisation's own.
func (c *call) callerRequest() string {
	if len(c.info.PromptParts) == 0 {
		return ""
	}
	if c.organisation == nil {
		return c.contentID()
	}
	return c.organisation.Name + " " + c.contentID()
}

// observeReturn finds out whether the caller has sent the request again before the time
// that it was asked to wait.
func (g *Gateway) observeReturn(c *call) {
	c.early = g.returns.Early(c.started, c.callerRequest())
	if !c.early {
		return
	}
	g.metrics.earlyReturns.Add(1)
	name := ""
	if c.organisation != nil {
		name = c.organisation.Name
	}
	g.mu.Lock()
	logged, found := g.earlyLoggedAt[name]
	due := !found || c.started.Sub(logged) >= earlyReturnInterval
	if due {
		g.earlyLoggedAt[name] = c.started
	}
	g.mu.Unlock()
	if due {
		event.CallersReturnEarly.Log(g.logger, logrus.Fields{
			"organisation": name, "request": c.info.ID, "early-returns": g.metrics.earlyReturns.Value(),
		})
	}
}
