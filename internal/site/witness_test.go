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
	// leaveTime is how long after its caller left a request may still be
	// worked on.
	leaveTime = 500 * time.Millisecond
	// outTime is how long after an evacuation its zone may get requests, and
	// leavingTime the same for a server that leaves.
	outTime     = 5 * time.Second
	leavingTime = 2 * time.Second
	// coldSlack are the requests in one second beyond one and a half times
	// what a cold server bears.
	coldSlack = 5
)

// witness sees what callers and backend servers see, and tells what must not
// be.
type witness struct {
	mu     sync.Mutex
	broken []string
	logs   map[string]*bytes.Buffer

	// unsafeRuns counts the runs of requests that may run once; runs holds
	// where requests of streams ran.
	unsafeRuns map[string]int
	unsafe     map[string]bool
	runs       map[string]map[registry.Incarnation]bool
	lost       map[registry.Incarnation]bool
	refused    map[string]int
	revoked    map[string]time.Time
	out        map[string]time.Time
	leaving    map[string]time.Time
	lefts      map[string]time.Time
	workedOn   map[string]bool
	seen       map[string]bool
	requests   map[string][]time.Time
	repeats    map[string][]time.Time
	cold       map[string][]time.Time
	// changed are the organisations whose keys were taken away at some time:
	// their requests may be denied.
	changed map[string]bool
	denied  int
}

func newWitness() *witness {
	return &witness{
		logs: map[string]*bytes.Buffer{}, unsafeRuns: map[string]int{}, unsafe: map[string]bool{}, runs: map[string]map[registry.Incarnation]bool{},
		lost: map[registry.Incarnation]bool{}, refused: map[string]int{}, revoked: map[string]time.Time{},
		out: map[string]time.Time{}, leaving: map[string]time.Time{}, lefts: map[string]time.Time{},
		workedOn: map[string]bool{}, seen: map[string]bool{}, requests: map[string][]time.Time{},
		repeats: map[string][]time.Time{}, cold: map[string][]time.Time{}, changed: map[string]bool{},
	}
}

func (w *witness) tell(format string, args ...any) {
	w.broken = append(w.broken, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
}

type lockedWriter struct {
	witness *witness
	buf     *bytes.Buffer
}

func (l lockedWriter) Write(p []byte) (int, error) {
	l.witness.mu.Lock()
	defer l.witness.mu.Unlock()
	return l.buf.Write(p)
}

func (w *witness) log(place string) io.Writer {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.logs[place] = &bytes.Buffer{}
	return lockedWriter{w, w.logs[place]}
}

// since notes when something begins to hold, or that it no longer does.
func since(m map[string]time.Time, key string, holds bool) {
	if holds {
		m[key] = time.Now()
		return
	}
	delete(m, key)
}

func (w *witness) keysChanged(organisation string, has bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	since(w.revoked, organisation, !has)
	w.changed[organisation] = true
}

func (w *witness) zoneOut(zone string, out bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	since(w.out, zone, out)
}

func (w *witness) serverLeaves(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	since(w.leaving, id, true)
}

// ended notes a lifetime that is over, or that was out of reach.
func (w *witness) ended(h *standin.Host) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lost[registry.Incarnation{ID: h.ID, StartTime: h.StartTime}] = true
}

func (w *witness) asked(id, path string, at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	service := serviceOf(path)
	w.unsafe[id] = strings.HasPrefix(path, "/dock/")
	w.requests[service] = append(w.requests[service], at)
}

// arrived notes that a request reached a server.
func (w *witness) arrived(h http.Header, host *standin.Host, coldUntil time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now, id := time.Now(), h.Get("Id")
	if h.Get("Key") != "" {
		w.tell("UNASKED: request %s reached %s with its key", id, host.ID)
	}
	if at, ok := w.revoked[h.Get("Organisation")]; ok {
		ms, err := strconv.ParseInt(h.Get("Sent"), 10, 64)
		if err == nil && time.UnixMilli(ms).After(at.Add(revocation)) {
			w.tell("CONFIG: request %s reached %s %s after its key was taken away", id, host.ID, now.Sub(at))
		}
	}
	if at, ok := w.out[host.Zone]; ok && now.Sub(at) > outTime {
		w.tell("EVAC: request %s reached %s %s after its zone was evacuated", id, host.ID, now.Sub(at))
	}
	if at, ok := w.leaving[host.ID]; ok && now.Sub(at) > leavingTime {
		w.tell("DRAIN: request %s reached %s %s after it said that it leaves", id, host.ID, now.Sub(at))
	}
	if w.seen[id] {
		w.repeats[host.Service] = append(w.repeats[host.Service], now)
	}
	w.seen[id] = true
	if now.Before(coldUntil) {
		w.coldArrival(host.ID, now)
	}
}

func (w *witness) coldArrival(id string, now time.Time) {
	w.cold[id] = append(w.cold[id], now)
	n := 0
	for _, at := range w.cold[id] {
		if now.Sub(at) < time.Second {
			n++
		}
	}
	if float64(n) > coldRate*1.5+coldSlack {
		w.tell("FAILBACK: %d requests in a second at %s, which is cold", n, id)
	}
}

// ran notes that a request began to run.
func (w *witness) ran(h http.Header, host *standin.Host) {
	w.mu.Lock()
	defer w.mu.Unlock()
	id := h.Get("Id")
	if host.Service == streams {
		if w.runs[id] == nil {
			w.runs[id] = map[registry.Incarnation]bool{}
		}
		w.runs[id][registry.Incarnation{ID: host.ID, StartTime: host.StartTime}] = true
		return
	}
	w.unsafeRuns[id]++
	if w.unsafe[id] && w.unsafeRuns[id] > 1 {
		w.tell("TWICE: request %s ran again at %s", id, host.ID)
	}
}

// wrote notes that a server is at work on a stream.
func (w *witness) wrote(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if at, ok := w.lefts[id]; ok && time.Since(at) > leaveTime {
		w.workedOn[id] = true
	}
}

func (w *witness) left(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lefts[id] = time.Now()
}

// answered checks what a caller got. It reports whether the request was served.
func (w *witness) answered(id, path string, reply *http.Response, body string, err error) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch status := reply.StatusCode; {
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		w.refused[id] = status
		return false
	case status == http.StatusUnauthorized || status == http.StatusNotFound:
		if !w.changed[strings.TrimPrefix(reply.Request.Header.Get("Key"), "k-")] {
			w.denied++
		}
		return false
	case status != http.StatusOK:
		return false
	}
	if reply.Header.Get("Receipt") == "" || reply.Header.Get("Id") != id {
		w.tell("MIXED: request %s got an answer to %q without receipt", id, reply.Header.Get("Id"))
		return false
	}
	whole := "done " + id
	if serviceOf(path) == streams {
		whole = wholeStream(id)
	}
	if err == nil && body != whole {
		w.tell("ORDER: the answer to %s looks complete and is not: %q", id, body)
	}
	if !strings.HasPrefix(whole, body) {
		w.tell("ORDER: the answer to %s is not what was written: %q", id, body)
	}
	return err == nil && body == whole
}

func wholeStream(id string) string {
	var b strings.Builder
	for i := 1; i <= eventCount; i++ {
		b.WriteString(eventText(i, id))
	}
	return b.String()
}

// judge adds what shows only at the end, and returns all that was broken.
func (w *witness) judge() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, status := range w.refused {
		if w.unsafeRuns[id] > 0 && w.unsafe[id] {
			w.tell("REFUSED: request %s got %d and ran", id, status)
		}
	}
	w.judgeAttempts()
	w.judgeRepeats()
	stayed := 0
	for id := range w.workedOn {
		if w.lefts[id] != (time.Time{}) {
			stayed++
		}
	}
	if stayed > 3 && stayed*4 > len(w.lefts) {
		w.tell("GONE: %d of %d requests were worked on after their callers left", stayed, len(w.lefts))
	}
	if all := len(w.seen); w.denied > 5+all/500 {
		w.tell("DENIED: %d requests were denied", w.denied)
	}
	return w.broken
}

// judgeAttempts holds the bound on servers at which one request may begin.
func (w *witness) judgeAttempts() {
	over := 0
	for _, lives := range w.runs {
		n := 0
		for l := range lives {
			if !w.lost[l] {
				n++
			}
		}
		if n > maxAttempts {
			over++
		}
	}
	if over > 3 {
		w.tell("BUDGET: %d requests began at more than %d servers", over, maxAttempts)
	}
}

// judgeRepeats holds the bound on repeats in every window.
func (w *witness) judgeRepeats() {
	for service, repeats := range w.repeats {
		for _, end := range repeats {
			from := end.Add(-repeatSpan)
			n := within(repeats, from, end)
			requests := 0
			for _, shift := range []time.Duration{0, repeatSpan / 2, repeatSpan} {
				requests = max(requests, within(w.requests[service], from.Add(-shift), end.Add(-shift)))
			}
			if float64(n) > repeatRatio*float64(requests)+repeatSlack {
				w.tell("BUDGET: %d repeats of %d requests for %s", n, requests, service)
				return
			}
		}
	}
}

func within(times []time.Time, from, to time.Time) int {
	n := 0
	for _, at := range times {
		if at.After(from) && !at.After(to) {
			n++
		}
	}
	return n
}
