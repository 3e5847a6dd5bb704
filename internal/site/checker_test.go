package site_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/internal/registry"
	"github.com/hibiscuspulley/hibiscuspulley/internal/standin"
)

const (
	// cancelGrace is how long a server may work on a request after its caller
	// has cancelled it.
	cancelGrace = 500 * time.Millisecond
	// evacuationGrace is how long an evacuated zone may still get requests;
	// drainGrace is the same for a draining server.
	evacuationGrace = 5 * time.Second
	drainGrace      = 2 * time.Second
	// askedGrace is how long after a server asked for time it may still get requests,
	// and maxAskedArrivals how many may come after that.
	askedGrace       = 500 * time.Millisecond
	maxAskedArrivals = 2
	// coldSlack is the number of requests in one second that a cold server may
	// get beyond 1.5 times its cold rate.
	coldSlack = 5
)

// checker records what callers and backend servers observe and collects
// violations of the invariants. Each violation begins with the invariant's name:
//
//   - UNASKED: no request reaches a server with the caller's key.
//   - CONFIG: no request that was sent more than the revocation bound after the
//     keys of its organisation were revoked reaches a server.
//   - EVAC: an evacuated zone gets no requests after evacuationGrace.
//   - DRAIN: a draining server, and one that has said in a response that it leaves,
//     gets no requests after drainGrace.
//   - FAILBACK: a cold server gets few requests; see coldSlack.
//   - TWICE: an unsafe request is executed at most once.
//   - MIXED: a response has the id of its request and a signature.
//   - ORDER: a response has the expected body, or the start of it if it ended with
//     an error.
//   - REFUSED: an unsafe request that was rejected was not executed.
//   - GONE: servers stop work on cancelled requests; finish tolerates some.
//   - DENIED: requests with valid keys are not denied; finish tolerates some.
//   - LIMIT: a server that names a request limit gets few requests more than that;
//     see limitArrival.
//   - BUDGET: the limits on attempts (checkAttempts) and on retries (checkRetries)
//     are kept.
type checker struct {
	mu         sync.Mutex
	violations []string
	logs       map[string]*bytes.Buffer

	// plainRuns counts, by request id, the executions of non-streaming requests.
	// unsafe tells, by request id, whether the request is unsafe and must be
	// executed at most once. runs holds, by request id, the incarnations that
	// executed a streaming request.
	plainRuns         map[string]int
	unsafe            map[string]bool
	runs              map[string]map[registry.Incarnation]bool
	lostIncarnations  map[registry.Incarnation]bool
	rejected          map[string]int
	revokedAt         map[string]time.Time
	evacuatedAt       map[string]time.Time
	drainingSince     map[string]time.Time
	saidLeavingAt     map[string]time.Time
	askedAt           map[string]time.Time
	askedArrivals     map[string]int
	cancelledAt       map[string]time.Time
	workedAfterCancel map[string]bool
	seen              map[string]bool
	requests          map[string][]time.Time
	retries           map[string][]time.Time
	coldArrivals      map[string][]time.Time
	// keysChangedFor are the organisations whose keys have been changed. Their
	// requests may be denied.
	keysChangedFor map[string]bool
	denied         int
	// deadlyArrivals holds when requests with a deadly part reached a server, and
	// deadlyCrashes when a server crashed on it, by part.
	deadlyArrivals map[string][]time.Time
	deadlyCrashes  map[string][]time.Time
	// limited holds what is known about the request limits of servers, by ID.
	limited map[string]*limitedServer
}

func newChecker() *checker {
	return &checker{
		logs: map[string]*bytes.Buffer{}, plainRuns: map[string]int{}, unsafe: map[string]bool{}, runs: map[string]map[registry.Incarnation]bool{},
		lostIncarnations: map[registry.Incarnation]bool{}, rejected: map[string]int{}, revokedAt: map[string]time.Time{},
		evacuatedAt: map[string]time.Time{}, drainingSince: map[string]time.Time{}, saidLeavingAt: map[string]time.Time{},
		askedAt: map[string]time.Time{}, askedArrivals: map[string]int{}, cancelledAt: map[string]time.Time{},
		workedAfterCancel: map[string]bool{}, seen: map[string]bool{}, requests: map[string][]time.Time{},
		retries: map[string][]time.Time{}, coldArrivals: map[string][]time.Time{}, keysChangedFor: map[string]bool{},
		deadlyArrivals: map[string][]time.Time{}, deadlyCrashes: map[string][]time.Time{}, limited: map[string]*limitedServer{},
	}
}

func (c *checker) addViolation(format string, args ...any) {
	c.violations = append(c.violations, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
}

type lockedWriter struct {
	checker *checker
	buf     *bytes.Buffer
}

func (l lockedWriter) Write(p []byte) (int, error) {
	l.checker.mu.Lock()
	defer l.checker.mu.Unlock()
	return l.buf.Write(p)
}

func (c *checker) logWriter(endpoint string) io.Writer {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.logs[endpoint] = &bytes.Buffer{}
	return lockedWriter{c, c.logs[endpoint]}
}

// countLogged returns how often the entries logged the event.
func (c *checker) countLogged(number int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, buf := range c.logs {
		n += bytes.Count(buf.Bytes(), fmt.Appendf(nil, `"event":%d,`, number))
	}
	return n
}

// setSince stores the current time under the key if holds is set, and deletes
// the key otherwise.
func setSince(m map[string]time.Time, key string, holds bool) {
	if holds {
		m[key] = time.Now()
		return
	}
	delete(m, key)
}

func (c *checker) keysChanged(organisation string, has bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	setSince(c.revokedAt, organisation, !has)
	c.keysChangedFor[organisation] = true
}

func (c *checker) zoneEvacuated(zone string, evacuated bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	setSince(c.evacuatedAt, zone, evacuated)
}

func (c *checker) serverDraining(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	setSince(c.drainingSince, id, true)
}

// leavingSaid records that a server says in a response that it leaves.
func (c *checker) leavingSaid(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, said := c.saidLeavingAt[id]; !said {
		c.saidLeavingAt[id] = time.Now()
	}
}

// askedForTime records a request that reaches a server that asks for time. All entries
// of the site together may send maxAskedArrivals later than askedGrace after the first.
func (c *checker) askedForTime(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	first, asked := c.askedAt[id]
	switch {
	case !asked:
		c.askedAt[id] = now
	case now.Sub(first) > askedGrace:
		if c.askedArrivals[id]++; c.askedArrivals[id] > maxAskedArrivals {
			c.addViolation("BUDGET: a request reached server %s %s after it asked for time", id, now.Sub(first))
		}
	}
}

// incarnationLost records an incarnation that has ended or has been made
// unreachable. Its executions don't count as attempts.
func (c *checker) incarnationLost(h *standin.Host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lostIncarnations[registry.Incarnation{ID: h.ID, StartTime: h.StartTime}] = true
}

func (c *checker) requestSent(id, path string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	service := serviceOf(path)
	c.unsafe[id] = strings.HasPrefix(path, "/dock/")
	c.requests[service] = append(c.requests[service], at)
}

// requestArrived checks a request that reached a server.
func (c *checker) requestArrived(h http.Header, host *standin.Host, coldUntil time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now, id := time.Now(), h.Get("Id")
	for _, part := range promptParts(h) {
		if isDeadly(part) {
			c.deadlyArrivals[part] = append(c.deadlyArrivals[part], now)
		}
	}
	if h.Get("Key") != "" {
		c.addViolation("UNASKED: request %s reached server %s with the caller's key in its header", id, host.ID)
	}
	if at, ok := c.revokedAt[h.Get("Organisation")]; ok {
		ms, err := strconv.ParseInt(h.Get("Sent"), 10, 64)
		if err == nil && time.UnixMilli(ms).After(at.Add(revocation)) {
			c.addViolation("CONFIG: request %s reached server %s %s after its key was revoked", id, host.ID, now.Sub(at))
		}
	}
	if at, ok := c.evacuatedAt[host.Zone]; ok && now.Sub(at) > evacuationGrace {
		c.addViolation("EVAC: request %s reached server %s %s after its zone was evacuated", id, host.ID, now.Sub(at))
	}
	if at, ok := c.drainingSince[host.ID]; ok && now.Sub(at) > drainGrace {
		c.addViolation("DRAIN: request %s reached server %s %s after it announced that it drains", id, host.ID, now.Sub(at))
	}
	if at, ok := c.saidLeavingAt[host.ID]; ok && now.Sub(at) > drainGrace {
		c.addViolation("DRAIN: request %s reached server %s %s after it said that it leaves", id, host.ID, now.Sub(at))
	}
	if c.seen[id] {
		c.retries[host.Service] = append(c.retries[host.Service], now)
	}
	c.seen[id] = true
	c.limitArrival(host.ID, now)
	if now.Before(coldUntil) {
		c.coldArrival(host.ID, now)
	}
}

func (c *checker) coldArrival(id string, now time.Time) {
	c.coldArrivals[id] = append(c.coldArrivals[id], now)
	n := 0
	for _, at := range c.coldArrivals[id] {
		if now.Sub(at) < time.Second {
			n++
		}
	}
	if float64(n) > coldRate*1.5+coldSlack {
		c.addViolation("FAILBACK: %d requests in one second at cold server %s", n, id)
	}
}

// requestStarted records that a server began to execute a request.
func (c *checker) requestStarted(h http.Header, host *standin.Host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := h.Get("Id")
	if host.Service == streamService {
		if c.runs[id] == nil {
			c.runs[id] = map[registry.Incarnation]bool{}
		}
		c.runs[id][registry.Incarnation{ID: host.ID, StartTime: host.StartTime}] = true
		return
	}
	c.plainRuns[id]++
	if c.unsafe[id] && c.plainRuns[id] > 1 {
		c.addViolation("TWICE: unsafe request %s was executed again at server %s", id, host.ID)
	}
}

// eventWritten records whether a server still writes a stream that its caller
// cancelled more than cancelGrace ago.
func (c *checker) eventWritten(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at, ok := c.cancelledAt[id]; ok && time.Since(at) > cancelGrace {
		c.workedAfterCancel[id] = true
	}
}

func (c *checker) requestCancelled(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelledAt[id] = time.Now()
}

// responseReceived checks the response that a caller got. It reports whether the
// complete expected response was received without an error.
func (c *checker) responseReceived(id, path string, response *http.Response, body string, err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch status := response.StatusCode; {
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		c.rejected[id] = status
		return false
	case status == http.StatusUnauthorized || status == http.StatusNotFound:
		if !c.keysChangedFor[strings.TrimPrefix(response.Request.Header.Get("Key"), "k-")] {
			c.denied++
		}
		return false
	case status != http.StatusOK:
		return false
	}
	if response.Header.Get("Receipt") == "" || response.Header.Get("Id") != id {
		c.addViolation("MIXED: request %s got a response with id %q; if that is the request's id, the Receipt header is missing", id, response.Header.Get("Id"))
		return false
	}
	expected := "done " + id
	if serviceOf(path) == streamService {
		expected = expectedStream(id)
	}
	if err == nil && body != expected {
		c.addViolation("ORDER: response to request %s ended without an error but is incomplete: %q", id, body)
	}
	if !strings.HasPrefix(expected, body) {
		c.addViolation("ORDER: response to request %s differs from what the server wrote: %q", id, body)
	}
	return err == nil && body == expected
}

func expectedStream(id string) string {
	var b strings.Builder
	for i := 1; i <= eventCount; i++ {
		b.WriteString(eventText(i, id))
	}
	return b.String()
}

// finish checks the invariants over the whole run and returns all violations.
func (c *checker) finish() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, status := range c.rejected {
		if c.plainRuns[id] > 0 && c.unsafe[id] {
			c.addViolation("REFUSED: request %s was rejected with status %d but was executed", id, status)
		}
	}
	c.checkAttempts()
	c.checkRetries()
	c.checkDeadlyParts()
	// Every id in workedAfterCancel is also in cancelledAt. Up to 3 of the
	// cancelled requests, or up to a quarter of them, may be continued.
	continued := 0
	for id := range c.workedAfterCancel {
		if c.cancelledAt[id] != (time.Time{}) {
			continued++
		}
	}
	if continued > 3 && continued*4 > len(c.cancelledAt) {
		c.addViolation("GONE: servers continued %d of %d cancelled requests", continued, len(c.cancelledAt))
	}
	// Up to 5 requests may be denied, and one more per 500 that reached a server.
	if total := len(c.seen); c.denied > 5+total/500 {
		c.addViolation("DENIED: %d requests with valid keys were denied", c.denied)
	}
	return c.violations
}

// checkAttempts checks how many incarnations of servers executed each streaming
// request. At most 3 requests may exceed maxAttempts. Lost incarnations don't
// count.
func (c *checker) checkAttempts() {
	exceeded := 0
	for _, incarnations := range c.runs {
		n := 0
		for incarnation := range incarnations {
			if !c.lostIncarnations[incarnation] {
				n++
			}
		}
		if n > maxAttempts {
			exceeded++
		}
	}
	if exceeded > 3 {
		c.addViolation("BUDGET: %d requests were executed at more than %d servers", exceeded, maxAttempts)
	}
}

// checkRetries checks the retry budget of each service in the retry window that
// ends with each retry. The number of requests is the largest of three windows: the
// same one, and those that end half a window and a whole window earlier. Only the
// first violation is recorded.
func (c *checker) checkRetries() {
	for service, retries := range c.retries {
		for _, end := range retries {
			from := end.Add(-retryWindow)
			n := countWithin(retries, from, end)
			requests := 0
			for _, shift := range []time.Duration{0, retryWindow / 2, retryWindow} {
				requests = max(requests, countWithin(c.requests[service], from.Add(-shift), end.Add(-shift)))
			}
			if float64(n) > retryRatio*float64(requests)+retrySlack {
				c.addViolation("BUDGET: %d retries for %d requests to service %s", n, requests, service)
				return
			}
		}
	}
}

func countWithin(times []time.Time, from, to time.Time) int {
	n := 0
	for _, at := range times {
		if at.After(from) && !at.After(to) {
			n++
		}
	}
	return n
}
