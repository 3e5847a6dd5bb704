package gateway

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/hibiscuspulley/hibiscuspulley/internal/backend"
	"github.com/hibiscuspulley/hibiscuspulley/internal/dispatch"
	"github.com/hibiscuspulley/hibiscuspulley/internal/event"
	"github.com/hibiscuspulley/hibiscuspulley/internal/registry"
	"github.com/hibiscuspulley/hibiscuspulley/internal/routes"
)

const (
	// answerMargin is how long before the caller's time ends the last answer
	// is sent, so that it still arrives.
	answerMargin = 20 * time.Millisecond
	// defaultWait bounds requests that name no time, on routes without one.
	defaultWait = 10 * time.Second
	// staleRetryAfter sends a caller elsewhere: a retry reaches another entry.
	staleRetryAfter = 100 * time.Millisecond
	// busyRetryAfter is about the time in which a full group finishes a third
	// of its requests.
	busyRetryAfter = 400 * time.Millisecond
	// defaultBodyBytes bounds bodies while no configuration says so.
	defaultBodyBytes = 4 << 20
)

// call is one caller's request on its way.
type call struct {
	ask          RequestInfo
	table        *routes.Table
	route        *routes.Route
	service      string
	organisation *routes.Organisation
	request      backend.Request
	started      time.Time
	// until is when the caller gets its final answer at the latest.
	until time.Time
	// tried are the servers that were sent the request or refused it.
	tried map[string]bool
	// sent counts the servers that may have run the request.
	sent int
	// ran are the servers at which it began to run.
	ran []registry.Incarnation
	// trail explains the attempts in the request's log line.
	trail []string
	// retryAfter is when room is expected, for a refusal.
	retryAfter time.Duration
	// resumed is the value of sent at the last logged resume.
	resumed int
	// delivered counts events passed on.
	delivered int
}

func (c *call) note(text string) { c.trail = append(c.trail, text) }

// ServeHTTP answers one caller's request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.metrics.requests.Add(1)
	c := &call{ask: g.platform.Protocol.DecodeRequest(r.Header), started: time.Now(), tried: map[string]bool{}}
	for _, what := range c.ask.InvalidHeaders {
		c.note("unreadable " + what)
	}
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	if g.stopping.Load() {
		w.Header().Set("Connection", "close")
		if c.started.Sub(g.stopBegan()) > serveWhileStopping {
			g.refuse(w, c, http.StatusServiceUnavailable, staleRetryAfter, "the entry is about to stop")
			return
		}
	}
	if !g.admit(w, r, c) {
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.until)
	defer cancel()
	g.budget(c.service).RecordRequest(c.started)
	if c.route.Kind == routes.Streaming {
		g.stream(ctx, w, c)
		return
	}
	g.plain(ctx, w, c)
}

// admit checks the request against the configuration and reads its body. It
// answers and returns false where the request can't be passed on.
func (g *Gateway) admit(w http.ResponseWriter, r *http.Request, c *call) bool {
	c.table = g.beliefs.table.Load()
	if c.table == nil {
		g.refuse(w, c, http.StatusServiceUnavailable, staleRetryAfter, "no configuration is known yet")
		return false
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	c.route = c.table.Route(r.Host, path)
	if c.route == nil {
		g.refuse(w, c, http.StatusNotFound, 0, "no route of "+r.Host+path)
		return false
	}
	if !g.authenticate(w, c) {
		return false
	}
	wait := c.ask.Timeout
	if wait <= 0 {
		wait = defaultWait
	}
	if c.route.Timeout > 0 {
		wait = min(wait, c.route.Timeout)
	}
	c.until = c.started.Add(wait - answerMargin)
	c.service = c.route.Pick(rand.Float64())
	limit := c.table.Config.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(limit)))
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			g.refuse(w, c, http.StatusRequestEntityTooLarge, 0, "the body is too large")
			return false
		}
		g.refuse(w, c, http.StatusBadRequest, 0, "the body did not arrive: "+err.Error())
		return false
	}
	c.request = backend.Request{Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: r.Header, Body: body}
	removeHopByHop(c.request.Header)
	return true
}

// authenticate finds the organisation of the request's key. The key's holder
// is trusted only while the configuration is known to be recent.
func (g *Gateway) authenticate(w http.ResponseWriter, c *call) bool {
	if !c.table.NeedsKey(c.route) {
		return true
	}
	c.organisation = c.table.Organisation(c.ask.Key)
	age := g.bootClock().Sub(g.beliefs.evidence())
	if g.settings.Bounds.Revocation > 0 && age >= g.settings.Bounds.Revocation {
		g.refuse(w, c, http.StatusServiceUnavailable, staleRetryAfter,
			"the configuration was last confirmed "+age.Round(time.Millisecond).String()+" ago")
		return false
	}
	if c.organisation == nil {
		g.refuse(w, c, http.StatusUnauthorized, 0, "the key is unknown")
		return false
	}
	return true
}

// fresh reports whether a request with a key may still be sent on.
func (g *Gateway) fresh(c *call) bool {
	if c.organisation == nil || g.settings.Bounds.Revocation <= 0 {
		return true
	}
	return g.bootClock().Sub(g.beliefs.evidence()) < g.settings.Bounds.Revocation
}

// refuse answers a request that was not passed on, or whose outcome is known.
func (g *Gateway) refuse(w http.ResponseWriter, c *call, status int, retryAfter time.Duration, reason string) {
	g.metrics.status(status)
	if retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
	g.logOutcome(c, status, reason)
}

// logOutcome writes the one line that explains what became of a request.
func (g *Gateway) logOutcome(c *call, status int, reason string) {
	fields := logrus.Fields{
		"request": c.ask.ID, "status": status, "ms": time.Since(c.started).Milliseconds(),
	}
	if c.route != nil {
		fields["route"] = c.route.Name
		fields["config"] = c.table.Config.Version
	}
	if c.organisation != nil {
		fields["organisation"] = c.organisation.Name
	}
	if len(c.trail) > 0 {
		fields["attempts"] = strings.Join(c.trail, "; ")
	}
	if c.delivered > 0 {
		fields["events"] = c.delivered
	}
	if c.route != nil && c.sent == 0 && status == http.StatusServiceUnavailable {
		g.addRoom(fields, c)
	}
	if reason != "" {
		fields["reason"] = reason
		event.RequestFailed.Log(g.logger, fields)
		return
	}
	g.metrics.served.observe(time.Since(c.started))
	event.RequestServed.Log(g.logger, fields)
}

// addRoom tells what the request found when it was refused.
func (g *Gateway) addRoom(fields logrus.Fields, c *call) {
	demand := dispatch.Requirements{Service: c.service}
	if c.route.Kind == routes.Streaming {
		demand.Model = c.ask.Model
	}
	room := g.balancer.Capacity(time.Now(), g.bootClock(), demand)
	fields["servers"], fields["silent"], fields["full"] = room.Servers, room.Unresponsive, room.Full
	fields["in-flight"], fields["waiting"] = room.InFlight, g.lines.Queue(c.service, demand.Model).Length()
	fields["view"], fields["view-age-ms"] = room.ViewVersion, room.ViewAge.Milliseconds()
	fields["config-age-ms"] = g.bootClock().Sub(g.beliefs.evidence()).Milliseconds()
}

// removeHopByHop removes the headers that concern one connection only.
func removeHopByHop(h http.Header) {
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range []string{
		"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
	} {
		h.Del(name)
	}
}
