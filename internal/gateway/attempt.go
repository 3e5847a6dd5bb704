package gateway

import (
	"context"
	"maps"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/hibiscuspulley/hibiscuspulley/internal/backend"
	"github.com/hibiscuspulley/hibiscuspulley/internal/dispatch"
	"github.com/hibiscuspulley/hibiscuspulley/internal/registry"
	"github.com/hibiscuspulley/hibiscuspulley/internal/retry"
)

const (
	// maxUnsentAttempts is the number of attempts that a request may make in
	// addition to the route's maximum, because a server that could not be
	// reached or that rejected the request does not count towards that maximum.
	maxUnsentAttempts = 3
)

// errUnknownRejection is the error of an attempt that was answered by a rejection of
// an unknown request.
var errUnknownRejection = errors.New("the rejection may belong to an earlier request on the connection")

// errNotAServer is the error of an attempt that was answered with a redirect or a client
// error by something that gives no sign of being a backend server.
var errNotAServer = errors.New("the response is not that of a backend server")

// reserve waits for capacity at a server and reserves it. It returns nil if
// none becomes free in time, if the queue is full or if the request is shed. It
// returns nil at once, and sets c.retryAfter, if the expected wait is too long;
// retries skip this check. It does so too if all servers have asked for more time than
// that. model is empty for plain requests.
func (g *Gateway) reserve(ctx context.Context, c *call, model string, isRetry bool) *dispatch.Reservation {
	requirements := dispatch.Requirements{Service: c.service, Model: model, Tried: c.tried}
	queued := g.queuedRequest(c, model, isRetry)
	queue := g.queues.Queue(c.service, model)
	expected := g.expectedWait(c, queue, queued, requirements)
	if !isRetry && expected > queued.MaxWait {
		c.retryAfter = g.retryAfter(c, expected)
		c.addNote("queue too long: expected wait " + expected.Round(time.Millisecond).String())
		return nil
	}
	if closed := g.balancer.ClosedFor(time.Now(), requirements); closed > queued.MaxWait {
		c.retryAfter = closed
		c.addNote("all servers have asked for time: " + closed.Round(time.Millisecond).String())
		return nil
	}
	started := time.Now()
	res := g.awaitCapacity(ctx, queue, queued, requirements)
	waited := time.Since(started)
	c.queued += waited
	g.metrics.waited.observe(waited)
	if waited > 0 && !isRetry && g.balancer.Pace(model) > 0 {
		g.metrics.paced.Add(1)
	}
	if res == nil && g.queues.ByUrgency() {
		if !queued.DueAt.IsZero() {
			// What the caller sends again has its whole objective before it.
			queued.DueAt = time.Now().Add(queued.DueAt.Sub(c.started))
		}
		c.retryAfter = g.retryAfter(c, g.expectedWait(c, queue, queued, requirements))
	}
	return res
}

// awaitCapacity waits in the queue, for at most the request's MaxWait, until a server that
// meets the requirements has capacity, and reserves it.
func (g *Gateway) awaitCapacity(
	ctx context.Context, queue *dispatch.Queue, queued dispatch.QueuedRequest, requirements dispatch.Requirements,
) *dispatch.Reservation {
	ctx, cancel := context.WithTimeout(ctx, queued.MaxWait)
	defer cancel()
	g.limits.ask(ctx, requirements)
	queued.ReserveAny = func(now time.Time) *dispatch.Reservation { return g.balancer.Reserve(now, requirements) }
	queued.HasSpare = func(now time.Time) bool { return g.balancer.HasSpare(now, requirements) }
	res := queue.Wait(ctx, queued, func(now time.Time) *dispatch.Reservation {
		r := requirements
		r.Overdue = !queued.DueAt.IsZero() && now.After(queued.DueAt)
		return g.balancer.Reserve(now, r)
	})
	if res != nil && res.Server.Zone != g.settings.Zone {
		g.metrics.remoteSends.Add(1)
	}
	return res
}

// reserveElsewhere waits for capacity at a server that the stream was not sent to yet, and
// takes the retry out of the budget. It returns nil if there is no such capacity in time,
// or if the budget is empty. It changes nothing of c, because attempts go on meanwhile.
func (g *Gateway) reserveElsewhere(ctx context.Context, c *call) *dispatch.Reservation {
	budget := g.budget(c.service)
	if !budget.CanRetry(time.Now(), g.entries()) {
		g.metrics.budgetEmpty.Add(1)
		return nil
	}
	requirements := dispatch.Requirements{Service: c.service, Model: c.info.Model, Tried: c.tried}
	queued := g.queuedRequest(c, c.info.Model, true)
	if g.balancer.ClosedFor(time.Now(), requirements) > queued.MaxWait {
		return nil
	}
	res := g.awaitCapacity(ctx, g.queues.Queue(c.service, c.info.Model), queued, requirements)
	if res == nil {
		return nil
	}
	if ctx.Err() != nil || !budget.AllowRetry(time.Now(), g.entries()) {
		res.Release(time.Now(), dispatch.Cancelled)
		g.queues.Queue(c.service, c.info.Model).Dispatch()
		return nil
	}
	return res
}

// dueAt returns the time by which a stream must be sent to a replica group of the
// model so that its first event meets the route's objective. It is zero for other
// requests, for routes without an objective, and for a stream that a caller resumes.
func (c *call) dueAt(model string) time.Time {
	service := c.table.Service(c.service)
	if model == "" || c.route.Objective <= 0 || c.info.LastEventID != "" || service == nil || service.Engine == nil {
		return time.Time{}
	}
	return c.started.Add(c.route.Objective - service.Engine.FirstEventTime(model, c.info.PromptTokens))
}

// priority returns the request's priority; 0 is the most urgent. The
// organisation's priority takes precedence over the route's.
func (c *call) priority() int {
	if c.organisation != nil {
		return c.organisation.Priority
	}
	return c.route.Priority
}

// cost estimates the cost of the request in generated tokens.
func (c *call) cost() float64 {
	responseTokens := c.info.HintTokens
	if responseTokens <= 0 || responseTokens > c.info.MaxTokens {
		responseTokens = c.info.MaxTokens
	}
	// Processing ten prompt tokens takes about as long as generating one.
	return float64(c.info.PromptTokens)/10 + float64(responseTokens) + 1
}

// sharedParts returns the parts of the prompt that other requests may have too:
// all but the last, which is the request's own.
func (c *call) sharedParts() []string {
	if len(c.info.PromptParts) == 0 {
		return nil
	}
	return c.info.PromptParts[:len(c.info.PromptParts)-1]
}

// contentID identifies the request across retries of its caller, which have other
// request IDs: by the last part of its prompt, which is its own.
func (c *call) contentID() string {
	if n := len(c.info.PromptParts); n > 0 {
		return c.info.PromptParts[n-1]
	}
	return c.info.ID
}

// send forwards the request to the server of the reservation and reads the
// header of its response. If newConn is set, it opens a new connection: a reused one may
// be dead or hold a stray response. It skips
// late responses to other requests: those with another request ID, and those
// without an ID that are signed, or that arrive on a reused connection and are no
// rejections. A rejection without an ID on a reused connection may be a copy of an
// earlier one, while the server runs this request, so it is a failure.
func (g *Gateway) send(ctx context.Context, c *call, res *dispatch.Reservation, lastEventID string, newConn bool) (*backend.Exchange, *backend.Failure) {
	request := c.request
	request.Header = maps.Clone(c.request.Header)
	f := ForwardInfo{
		Server: res.Server.ID, Timeout: time.Until(c.deadline), Priority: g.toldPriority(c), LastEventID: lastEventID,
	}
	if c.organisation != nil {
		f.Organisation = c.organisation.Name
	}
	g.platform.Protocol.Forward(request.Header, f)
	matches := func(resp *http.Response, reused bool) bool {
		info := g.platform.Protocol.DecodeResponse(resp.Header, resp.StatusCode)
		return info.ID == c.info.ID || (info.ID == "" && !info.Signed && (!reused || info.NotRun))
	}
	if limit := g.limits.book.Rate(res.Server.Incarnation()); limit > 0 {
		g.metrics.limitedSends.Add(1)
		c.addNote(res.Server.ID + " limit " + strconv.FormatFloat(limit, 'g', 4, 64) + "/s")
	}
	g.recordUnrecordedSend(c, res.Server)
	x, failure := g.pool.Do(ctx, g.backendServer(res.Server), &request, matches, newConn)
	if failure != nil {
		return nil, failure
	}
	status := x.Response.StatusCode
	info := g.platform.Protocol.DecodeResponse(x.Response.Header, status)
	if info.NotRun && info.ID == "" && x.Reused() {
		x.Abort()
		return nil, &backend.Failure{Stage: backend.Sent, Err: errUnknownRejection}
	}
	if isForeign(status, info) {
		x.Abort()
		return nil, &backend.Failure{Stage: backend.Sent, Fresh: !x.Reused(), Err: errors.Wrap(errNotAServer, "status "+strconv.Itoa(status))}
	}
	g.limits.observe(time.Now(), res.Server, status, info)
	return x, nil
}

// isForeign reports whether a redirect or a client error has neither the request's ID nor a
// signature, nor says that the request has not run. Servers name the request in all their
// responses, so another program listens at the address.
func isForeign(status int, info ResponseInfo) bool {
	return status >= http.StatusMultipleChoices && status < http.StatusInternalServerError &&
		info.ID == "" && !info.Signed && !info.NotRun
}

// backendServer returns the server with this entry's part of the service's
// connection limit, which is at least 2, or 0 if the service has no limit.
func (g *Gateway) backendServer(s *registry.Server) backend.Server {
	connections := 0
	if table := g.configCache.table.Load(); table != nil {
		if service := table.Service(s.Service); service != nil && service.ConnectionLimit > 0 {
			connections = max(service.ConnectionLimit/g.entries(), 2)
		}
	}
	return backend.Server{ID: s.ID, StartTime: s.StartTime, Address: s.Address, Connections: connections}
}

// budget returns the retry budget of a service and creates it if needed.
func (g *Gateway) budget(service string) *retry.SlidingWindow {
	g.mu.Lock()
	defer g.mu.Unlock()
	w := g.budgets[service]
	if w == nil {
		w = retry.NewSlidingWindow(g.settings.Bounds.Retries)
		g.budgets[service] = w
	}
	return w
}

// takeRetry takes one retry out of the service's budget. It returns false if
// none is left.
func (g *Gateway) takeRetry(c *call) bool {
	allowed := g.budget(c.service).AllowRetry(time.Now(), g.entries())
	if !allowed {
		c.addNote("the retry budget is empty")
		g.metrics.budgetEmpty.Add(1)
	}
	return allowed
}

// attemptsLeft reports whether a stream's request may start on another server. It counts
// the incarnations in c.startedOn that are still in the registry, and the running attempts
// that have begun.
func (g *Gateway) attemptsLeft(c *call, begun int) bool {
	v := g.registry.View()
	n := begun
	for _, inc := range c.startedOn {
		if g.runs(v, inc) {
			n++
		}
	}
	return n < c.route.MaxAttempts
}

// ended reports whether the request's caller has gone or its time is over. A failure to
// send it then says nothing about the server.
func ended(ctx context.Context) bool {
	deadline, found := ctx.Deadline()
	return ctx.Err() != nil || (found && !time.Now().Before(deadline))
}

// copyResponseHeader copies the server's response headers. Before that, it
// deletes the hop-by-hop headers and Content-Length from the source.
func copyResponseHeader(to, from http.Header) {
	removeHopByHop(from)
	maps.Copy(to, from)
}
