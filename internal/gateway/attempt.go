package gateway

import (
	"context"
	"maps"
	"net/http"
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/internal/backend"
	"github.com/hibiscuspulley/hibiscuspulley/internal/dispatch"
	"github.com/hibiscuspulley/hibiscuspulley/internal/registry"
	"github.com/hibiscuspulley/hibiscuspulley/internal/retry"
)

const (
	// waitShare is the part of the caller's time that a request waits for a
	// place at most, and longestWait bounds it: a stream that begins later is
	// late anyway, and its caller leaves after two seconds without an event.
	waitShare   = 0.25
	longestWait = 1200 * time.Millisecond
	// longestRetryAfter bounds the time after which a refused caller is told to
	// come back: callers heed a third of the time that they have left.
	longestRetryAfter = 1500 * time.Millisecond
	// unsentTries bounds how many servers are tried that could not be reached.
	unsentTries = 3
)

// place waits for a place at a server.
func (g *Gateway) place(ctx context.Context, c *call, model string, repeat bool) *dispatch.Reservation {
	demand := dispatch.Requirements{Service: c.service, Model: model, Tried: c.tried}
	wait := min(time.Duration(float64(time.Until(c.until))*waitShare), longestWait)
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	turn := dispatch.QueuedRequest{Priority: c.priority(), Cost: c.cost(), Retry: repeat}
	if c.organisation != nil {
		turn.Organisation = c.organisation.Name
	}
	line := g.lines.Queue(c.service, model)
	if expected := line.EstimateWait(turn.Organisation); !repeat && expected > wait {
		c.retryAfter = min(expected, longestRetryAfter)
		c.note("too many wait: a place is expected in " + expected.Round(time.Millisecond).String())
		return nil
	}
	began := time.Now()
	t := line.Wait(ctx, turn, func(now time.Time) *dispatch.Reservation {
		return g.balancer.Reserve(now, demand)
	})
	g.metrics.waited.observe(time.Since(began))
	return t
}

// priority returns the request's rank: the organisation's goes before the
// route's.
func (c *call) priority() int {
	if c.organisation != nil {
		return c.organisation.Priority
	}
	return c.route.Priority
}

// cost estimates the request's size in tokens.
func (c *call) cost() float64 {
	answer := c.ask.HintTokens
	if answer <= 0 || answer > c.ask.MaxTokens {
		answer = c.ask.MaxTokens
	}
	// Ten tokens of a prompt take about as long as one that is written.
	return float64(c.ask.PromptTokens)/10 + float64(answer) + 1
}

// send passes the request on to the ticket's server.
func (g *Gateway) send(ctx context.Context, c *call, t *dispatch.Reservation, lastEvent string, fresh bool) (*backend.Exchange, *backend.Failure) {
	request := c.request
	request.Header = maps.Clone(c.request.Header)
	f := ForwardInfo{
		Server: t.Server.ID, Timeout: time.Until(c.until), Priority: c.priority(), LastEventID: lastEvent,
	}
	if c.organisation != nil {
		f.Organisation = c.organisation.Name
	}
	g.platform.Protocol.Forward(request.Header, f)
	belongs := func(h http.Header) bool {
		mark := g.platform.Protocol.DecodeResponse(h, 0)
		return mark.ID == c.ask.ID || (mark.ID == "" && !mark.Signed)
	}
	return g.pool.Do(ctx, g.target(t.Server), &request, belongs, fresh)
}

func (g *Gateway) target(s *registry.Server) backend.Server {
	connections := 0
	if table := g.beliefs.table.Load(); table != nil {
		if service := table.Service(s.Service); service != nil && service.ConnectionLimit > 0 {
			connections = max(service.ConnectionLimit/g.entries(), 2)
		}
	}
	return backend.Server{ID: s.ID, StartTime: s.StartTime, Address: s.Address, Connections: connections}
}

// budget returns the window that bounds a service's repeats.
func (g *Gateway) budget(service string) *retry.SlidingWindow {
	g.mu.Lock()
	defer g.mu.Unlock()
	w := g.budgets[service]
	if w == nil {
		w = retry.NewSlidingWindow(g.settings.Bounds.Repeats)
		g.budgets[service] = w
	}
	return w
}

// mayRepeat takes a further arrival of a request out of the service's budget.
func (g *Gateway) mayRepeat(c *call) bool {
	allowed := g.budget(c.service).AllowRetry(time.Now(), g.entries())
	if !allowed {
		c.note("no repeat left in the budget")
		g.metrics.budgetEmpty.Add(1)
	}
	return allowed
}

// mayRunElsewhere reports whether the route lets the request go to one more
// server.
func (g *Gateway) mayRunElsewhere(c *call) bool {
	return c.sent < c.route.MaxAttempts+unbegunSends && g.attemptsLeft(c, false)
}

// attemptsLeft reports whether the request may begin at one more server. One
// where it began counts unless it has ended since; begunNow adds the server
// that has it now.
func (g *Gateway) attemptsLeft(c *call, begunNow bool) bool {
	servers := g.registry.View().Servers
	n := 0
	if begunNow {
		n++
	}
	for _, l := range c.ran {
		if s := servers[l.ID]; s != nil && s.StartTime == l.StartTime {
			n++
		}
	}
	return n < c.route.MaxAttempts
}

// copyAnswerHeader passes on the server's headers.
func copyAnswerHeader(to, from http.Header) {
	removeHopByHop(from)
	maps.Copy(to, from)
}
