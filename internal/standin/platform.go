package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// PlatformFaults are the platform's settable faults.
type PlatformFaults struct {
	// Outage makes every call fail with 503 before it takes effect.
	Outage bool `json:"outage"`
	// LoseAnswers drops the connection after a write took effect.
	LoseResponses bool `json:"lose-answers"`
	// LatencyMS delays each answer, in milliseconds.
	LatencyMS int `json:"latency-ms"`
	// WritesPerSecond and ReadsPerSecond limit the rate; 0 means no limit.
	WritesPerSecond int `json:"writes-per-second"`
	ReadsPerSecond  int `json:"reads-per-second"`
	// ListLagMS is how long the instance list lags behind, in milliseconds.
	ListLagMS int `json:"list-lag-ms"`
}

// PlatformCounts counts the calls that a platform answered.
type PlatformCounts struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Limited int64 `json:"limited"`
}

// Platform stands in for the table service, the object store and the instance
// list.
type Platform struct {
	Table *Table
	// Blocked decides whether a call from an address is cut off.
	Blocked func(r *http.Request) bool

	mu        sync.Mutex
	faults    PlatformFaults
	counts    PlatformCounts
	writes    *rate.Limiter
	reads     *rate.Limiter
	objects   map[string][]byte
	instances []InstanceLabels
	// listed counts the versions of the instance list.
	listed int
	mux    *http.ServeMux
}

// InstanceLabels is one entry of the instance list, in the Prometheus HTTP
// service discovery format.
type InstanceLabels struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

// NewPlatform returns a platform without rows, objects or instances.
func NewPlatform() *Platform {
	p := &Platform{
		Table:   NewTable(),
		Blocked: func(*http.Request) bool { return false },
		objects: make(map[string][]byte),
		mux:     http.NewServeMux(),
	}
	p.SetFaults(PlatformFaults{})
	p.mux.HandleFunc("POST /v3/kv/range", p.serveRange)
	p.mux.HandleFunc("POST /v3/kv/txn", p.serveTransaction)
	p.mux.HandleFunc("GET /instances", p.serveInstances)
	p.mux.HandleFunc("GET /objects/{key...}", p.serveGetObject)
	p.mux.HandleFunc("PUT /objects/{key...}", p.servePutObject)
	p.mux.HandleFunc("PUT /control", p.serveControl)
	p.mux.HandleFunc("PUT /control/instances", p.serveSetInstances)
	p.mux.HandleFunc("GET /control/counts", p.serveCounts)
	return p
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mux.ServeHTTP(w, r)
}

// SetFaults replaces the platform's faults.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.writes = newLimiter(f.WritesPerSecond)
	p.reads = newLimiter(f.ReadsPerSecond)
}

func newLimiter(perSecond int) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, 1)
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

// SetInstances replaces the instance list, after the list's lag.
func (p *Platform) SetInstances(list []InstanceLabels) {
	p.mu.Lock()
	lag := time.Duration(p.faults.ListLagMS) * time.Millisecond
	p.mu.Unlock()
	if lag > 0 {
		time.AfterFunc(lag, func() { p.showInstances(list) })
		return
	}
	p.showInstances(list)
}

func (p *Platform) showInstances(list []InstanceLabels) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances = list
	p.listed++
}

// Counts returns how many calls were answered.
func (p *Platform) Counts() PlatformCounts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// admit applies faults and rate limits; it answers the call itself and
// returns false when the call must not run.
func (p *Platform) admit(w http.ResponseWriter, r *http.Request, write bool) (PlatformFaults, bool) {
	p.mu.Lock()
	faults := p.faults
	limiter := p.reads
	count := &p.counts.Reads
	if write {
		limiter, count = p.writes, &p.counts.Writes
	}
	limited := !limiter.Allow()
	if limited {
		count = &p.counts.Limited
	}
	*count++
	p.mu.Unlock()
	if faults.LatencyMS > 0 {
		time.Sleep(time.Duration(faults.LatencyMS) * time.Millisecond)
	}
	switch {
	case faults.Outage || p.Blocked(r):
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return faults, false
	case limited:
		http.Error(w, "rate limit", http.StatusTooManyRequests)
		return faults, false
	}
	return faults, true
}

func (p *Platform) serveRange(w http.ResponseWriter, r *http.Request) {
	if _, ok := p.admit(w, r, false); !ok {
		return
	}
	var request rangeWire
	if !readJSON(w, r, &request) {
		return
	}
	rows, revision := p.Table.read(string(request.Key), string(request.RangeEnd), request.MinVersion)
	writeJSON(w, rowsWire{Header: revisionWire{Revision: revision}, Rows: rows})
}

func (p *Platform) serveTransaction(w http.ResponseWriter, r *http.Request) {
	faults, ok := p.admit(w, r, true)
	if !ok {
		return
	}
	var request txnRequestWire
	if !readJSON(w, r, &request) {
		return
	}
	succeeded, revision := p.Table.commit(request)
	if faults.LoseResponses {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, txnReplyWire{Header: revisionWire{Revision: revision}, Succeeded: succeeded})
}

func (p *Platform) serveInstances(w http.ResponseWriter, r *http.Request) {
	if _, ok := p.admit(w, r, false); !ok {
		return
	}
	p.mu.Lock()
	list, tag := p.instances, fmt.Sprintf(`"%d"`, p.listed)
	p.mu.Unlock()
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	if list == nil {
		list = []InstanceLabels{}
	}
	writeJSON(w, list)
}

func (p *Platform) serveGetObject(w http.ResponseWriter, r *http.Request) {
	if _, ok := p.admit(w, r, false); !ok {
		return
	}
	p.mu.Lock()
	body, found := p.objects[r.PathValue("key")]
	p.mu.Unlock()
	if !found {
		http.NotFound(w, r)
		return
	}
	_, _ = w.Write(body)
}

func (p *Platform) servePutObject(w http.ResponseWriter, r *http.Request) {
	if _, ok := p.admit(w, r, true); !ok {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.objects[r.PathValue("key")] = body
}

func (p *Platform) serveControl(w http.ResponseWriter, r *http.Request) {
	var faults PlatformFaults
	if readJSON(w, r, &faults) {
		p.SetFaults(faults)
	}
}

func (p *Platform) serveSetInstances(w http.ResponseWriter, r *http.Request) {
	var list []InstanceLabels
	if readJSON(w, r, &list) {
		p.SetInstances(list)
	}
}

func (p *Platform) serveCounts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, p.Counts())
}

func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
