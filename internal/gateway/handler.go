package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/hibiscuspulley/hibiscuspulley/internal/backend"
	"github.com/hibiscuspulley/hibiscuspulley/internal/connlimit"
	"github.com/hibiscuspulley/hibiscuspulley/internal/routes"
)

const (
	// responseMargin is how long before the end of the caller's timeout the
	// entry gives up on a request. It leaves time for the final response to
	// arrive.
	responseMargin = 20 * time.Millisecond
	// defaultTimeout applies to requests that state no timeout. The route's
	// timeout can only shorten it.
	defaultTimeout = 10 * time.Second
	// staleRetryAfter is the Retry-After of requests that are rejected because
	// this entry shuts down or has no recent configuration. It is short because
	// a retry is likely to reach another entry.
	staleRetryAfter = 100 * time.Millisecond
	// busyRetryAfter is the minimum Retry-After of requests that no server
	// accepted. In about this time, a group at capacity finishes a third of its
	// requests.
	busyRetryAfter = 400 * time.Millisecond
	// memoryRetryAfter is the Retry-After of requests whose body found no memory. In
	// this time, connections that make no progress are closed.
	memoryRetryAfter = time.Second
	// defaultBodyBytes limits request bodies if the configuration sets no
	// limit.
	defaultBodyBytes = 4 << 20
)

// ServeHTTP handles one request of a caller. It panics with
// http.ErrAbortHandler to close the connection if the caller has disconnected
// or a stream is cut.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.metrics.requests.Add(1)
	c := &call{info: g.platform.Protocol.DecodeRequest(r.Header), started: time.Now(), tried: map[string]time.Time{}}
	for _, header := range c.info.InvalidHeaders {
		c.addNote("invalid header " + header)
	}
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	defer g.logPanic(c)
	if g.stopping() && !g.acceptsAt(c.started) {
		g.reject(w, c, http.StatusServiceUnavailable, staleRetryAfter, "the entry is shutting down")
		return
	}
	defer func() { g.clients.Release(r.Context(), c.reserved) }()
	if !g.admit(w, r, c) {
		return
	}
	g.demands.record(c)
	if g.isolation.hold(w, c) {
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	defer context.AfterFunc(g.graceOver, cancel)()
	c.callerGone = func() bool { return r.Context().Err() != nil }
	g.budget(c.service).RecordRequest(c.started)
	if c.route.Kind == routes.Streaming {
		g.serveStream(ctx, w, c)
		return
	}
	g.servePlain(ctx, w, c)
}

// admit checks the request against the configuration, reads its body and sets
// the fields of c that forwarding needs. If the request can't be forwarded, it
// sends the response and returns false.
func (g *Gateway) admit(w http.ResponseWriter, r *http.Request, c *call) bool {
	c.table = g.configCache.table.Load()
	if c.table == nil {
		g.reject(w, c, http.StatusServiceUnavailable, staleRetryAfter, "no configuration received yet")
		return false
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	c.route = c.table.Route(r.Host, path)
	if c.route == nil {
		g.reject(w, c, http.StatusNotFound, 0, "no route matches "+r.Host+path)
		return false
	}
	if !g.authenticate(w, c) {
		return false
	}
	timeout := c.info.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if c.route.Timeout > 0 {
		timeout = min(timeout, c.route.Timeout)
	}
	c.deadline = c.started.Add(timeout - responseMargin)
	c.service = c.route.Pick(rand.Float64())
	body, ok := g.readRequestBody(w, r, c)
	if !ok {
		return false
	}
	if g.stopping() && !g.acceptsAt(time.Now()) {
		g.reject(w, c, http.StatusServiceUnavailable, staleRetryAfter, "the entry is shutting down")
		return false
	}
	c.request = backend.Request{Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: r.Header, Body: body}
	removeHopByHop(c.request.Header)
	g.observeReturn(c)
	return true
}

// readRequestBody reads the request's body until the end of the caller's timeout. If it
// can't, it sends the response and returns false.
func (g *Gateway) readRequestBody(w http.ResponseWriter, r *http.Request, c *call) ([]byte, bool) {
	if r.ContentLength == 0 {
		return nil, true
	}
	limit := int64(c.table.Config.Limits.BodyBytes)
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if r.ContentLength > limit {
		w.Header().Set("Connection", "close")
		g.reject(w, c, http.StatusRequestEntityTooLarge, 0, "the request body is too large")
		return nil, false
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(c.deadline) // fails only if the connection is closed
	body, reserved, err := g.clients.ReadRequest(r.Context(), http.MaxBytesReader(w, r.Body, limit), r.ContentLength)
	c.addReserved(reserved)
	if err == nil {
		_ = control.SetReadDeadline(time.Time{})
		return body, true
	}
	// The deadline stays set: net/http would otherwise wait for the rest of the body.
	w.Header().Set("Connection", "close")
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		g.reject(w, c, http.StatusRequestEntityTooLarge, 0, "the request body is too large")
	case errors.Is(err, connlimit.ErrNoMemory):
		g.reject(w, c, http.StatusServiceUnavailable, memoryRetryAfter, "no memory for the request body")
	case errors.Is(err, os.ErrDeadlineExceeded):
		g.reject(w, c, http.StatusRequestTimeout, 0, "the request body was not received in time")
	default:
		g.reject(w, c, http.StatusBadRequest, 0, "failed to read the request body: "+err.Error())
	}
	return nil, false
}

// authenticate sets c.organisation to the one that owns the request's key. Keys
// are accepted only while the cached configuration is younger than the
// revocation bound; a bound of 0 disables this check. If the key is not
// accepted, authenticate sends the response and returns false. On a route that
// needs no key it returns true and leaves c.organisation nil.
func (g *Gateway) authenticate(w http.ResponseWriter, c *call) bool {
	if !c.table.NeedsKey(c.route) {
		return true
	}
	c.organisation = c.table.Organisation(c.info.Key)
	age := g.bootClock().Sub(g.configCache.confirmedAt())
	if g.settings.Bounds.Revocation > 0 && age >= g.settings.Bounds.Revocation {
		g.reject(w, c, http.StatusServiceUnavailable, staleRetryAfter,
			"the configuration was last confirmed "+age.Round(time.Millisecond).String()+" ago")
		return false
	}
	if c.organisation == nil {
		g.reject(w, c, http.StatusUnauthorized, 0, "unknown key")
		return false
	}
	return true
}

// keyTrusted reports whether the request needs no key or the cached
// configuration is still younger than the revocation bound. It is called after
// the request has waited in the queue, during which the configuration ages.
func (g *Gateway) keyTrusted(c *call) bool {
	if c.organisation == nil || g.settings.Bounds.Revocation <= 0 {
		return true
	}
	return g.bootClock().Sub(g.configCache.confirmedAt()) < g.settings.Bounds.Revocation
}

// reject sends a response without a body, for a request that was not forwarded
// or that failed, and logs the outcome. If retryAfter is 0, the response has no
// Retry-After header.
func (g *Gateway) reject(w http.ResponseWriter, c *call, status int, retryAfter time.Duration, reason string) {
	g.metrics.status(status)
	g.recordRejection(c, status, retryAfter)
	if retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	w.Header().Set("Content-Length", "0")
	g.writeHead(w, status)
	g.logOutcome(c, status, reason)
}

// removeHopByHop removes the headers that apply to a single connection only.
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
