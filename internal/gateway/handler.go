package gateway

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"os"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/hibiscuspulley/hibiscuspulley/internal/backend"
	"github.com/hibiscuspulley/hibiscuspulley/internal/connlimit"
	"github.com/hibiscuspulley/hibiscuspulley/internal/dispatch"
	"github.com/hibiscuspulley/hibiscuspulley/internal/event"
	"github.com/hibiscuspulley/hibiscuspulley/internal/registry"
	"github.com/hibiscuspulley/hibiscuspulley/internal/routes"
)

const (
	// rejectionPause is how long a request is not sent again to a server that has
	// rejected it without running it.
	rejectionPause = 300 * time.Millisecond
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

// call is the state of one in-flight request of a caller.
type call struct {
	info         RequestInfo
	table        *routes.Table
	route        *routes.Route
	service      string
	organisation *routes.Organisation
	request      backend.Request
	started      time.Time
	// callerGone reports whether the caller has disconnected.
	callerGone func() bool
	// deadline is the latest time of the final response to the caller.
	deadline time.Time
	// tried holds the servers that were attempted, including those that could not be
	// reached, and until when they are not attempted again: see dispatch.Requirements. It
	// is replaced when it changes, because searches for a server hold it.
	tried map[string]time.Time
	// sent counts the failed attempts in which the server may have run the
	// request. It leaves out servers that could not be reached or that stated
	// that the request did not run.
	sent int
	// trial is set if the request is let through although one of its prompt parts
	// is in quarantine.
	trial bool
	// startedOn holds the server incarnations on which a stream started to run:
	// those that sent a forwarded event, or an error response that does not
	// state that the request did not run. It stays empty for plain requests.
	startedOn []registry.Incarnation
	// mu guards attemptNotes and reserved, which the attempts of a stream share.
	mu sync.Mutex
	// attemptNotes describes the attempts, the reasons to make no further one,
	// and invalid headers. It is logged with the request's outcome.
	attemptNotes []string
	// retryAfter is the estimated wait of a request that was rejected because
	// its queue is too long, as Gateway.retryAfter limits it, or after which the first server
	// takes requests again. Otherwise it is 0.
	retryAfter time.Duration
	// early is set if the caller has sent the request again before the time that it
	// was asked to wait.
	early bool
	// prediction is the last prediction of the request's wait, and predicted tells
	// whether there is one.
	prediction dispatch.Prediction
	predicted  bool
	// reserved is the memory that is reserved for the request's body and for
	// response bodies.
	reserved int64
	// delivered counts the events of a stream that were forwarded to the caller.
	delivered int
	// queued is how long the request has waited for capacity.
	queued time.Duration
	// firstAfter is when the first event was forwarded, counted from the request's
	// arrival; lastAt is the time of the last one, and longestPause the longest time
	// between two.
	firstAfter, longestPause time.Duration
	lastAt                   time.Time
}

func (c *call) addNote(text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attemptNotes = append(c.attemptNotes, text)
}

// setTried records that a server is not attempted again before the given time, or never
// again if it is zero.
func (c *call) setTried(id string, until time.Time) {
	c.tried = maps.Clone(c.tried)
	c.tried[id] = until
}

// needsNewConn reports whether the request must go to the server on a new connection. On a
// reused one, the rejection of a request that the server has rejected before may be a copy,
// while it runs now.
func (c *call) needsNewConn(id string) bool {
	_, tried := c.tried[id]
	return tried || !c.route.Retryable()
}

// setRejected records that a server has rejected the request without running it. One that
// is full may have room later. 421 says that it is another server, or has other weights.
func (c *call) setRejected(id string, status int) {
	if status != http.StatusMisdirectedRequest {
		c.setTried(id, time.Now().Add(rejectionPause))
	}
}

// notes returns the notes as one line.
func (c *call) notes() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return strings.Join(c.attemptNotes, "; ")
}

// addReserved records memory that is reserved until the end of the request.
func (c *call) addReserved(n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reserved += n
}

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

// recordForwarded records the time at which an event was forwarded.
func (c *call) recordForwarded(now time.Time) {
	if c.delivered == 0 {
		c.firstAfter = now.Sub(c.started)
	} else {
		c.longestPause = max(c.longestPause, now.Sub(c.lastAt))
	}
	c.lastAt = now
	c.delivered++
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
