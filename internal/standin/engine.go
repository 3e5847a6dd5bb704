package standin

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/pkg/caller"
)

const (
	// propagationGrace is how long a state change may take to reach the entries.
	propagationGrace = 2 * time.Second
	// zonePropagationGrace is how long it may take the entries to stop sending to
	// a zone that operators took out of service, or to a leaving engine.
	zonePropagationGrace = 3 * time.Second
	// resumeWindow is how long a response can be resumed after its connection
	// broke.
	resumeWindow = 3 * time.Second
	// bytesPerToken is the assumed length of a prompt token.
	bytesPerToken = 4

	defaultMaxTokens = 32
	cacheBlocks      = 4096
)

// EngineSpeed holds the speed and capacity of an engine.
type EngineSpeed struct {
	// TokenInterval is the time between two tokens of a response.
	TokenInterval time.Duration
	// PrefillPerToken is the time to process one uncached prompt token.
	PrefillPerToken time.Duration
	// LoadTime is the time to load a model.
	LoadTime time.Duration
	// ColdTime is how long the engine stays cold after loading.
	ColdTime time.Duration
	// Slots is how many requests run concurrently; further ones are queued.
	Slots int
	// ColdLimit is how many requests a cold engine may have, running and queued.
	ColdLimit int
}

// Engine stands in for one model engine. It is safe for concurrent use.
type Engine struct {
	// MemberMissing reports whether the member at an address can't serve the
	// group. It is called without the engine's lock.
	MemberMissing func(address, group string, generation uint64) bool

	speed EngineSpeed
	// rejectStale makes the engine reject role orders with an older generation.
	rejectStale bool

	mu     sync.Mutex
	faults EngineFaults
	counts EngineCounts
	role   roleWire
	model  string
	// loadedAt is when the model is loaded, coldUntil when the engine is warm.
	loadedAt  time.Time
	coldUntil time.Time
	// coldVisibleAt is when the entries must have noticed that the engine is
	// cold.
	coldVisibleAt time.Time
	// missingSince, zoneOutSince and leavingSince are zero while no member is
	// missing, the zone is in service and the engine is not leaving.
	missingSince time.Time
	zoneOutSince time.Time
	leavingSince time.Time
	// streams holds the responses that run or can be resumed, by request ID.
	streams map[string]*engineStream
	// running is the number of slots in use. Requests in slotQueue wait for a
	// slot; closing the channel hands it over.
	running   int
	slotQueue []chan struct{}
	cache     *prefixCache
	mux       *http.ServeMux
}

// NewEngine returns an idle engine. With rejectStale it rejects role orders whose
// generation is older than the current one.
func NewEngine(speed EngineSpeed, rejectStale bool) *Engine {
	e := &Engine{
		MemberMissing: func(string, string, uint64) bool { return false },
		speed:         speed,
		rejectStale:   rejectStale,
		streams:       make(map[string]*engineStream),
		cache:         newPrefixCache(cacheBlocks),
		mux:           http.NewServeMux(),
	}
	e.mux.HandleFunc("POST /v1/chat/completions", e.serveGenerate)
	e.mux.HandleFunc("POST /v1/completions", e.serveGenerate)
	e.mux.HandleFunc("POST /v1/responses/{id}/cancel", e.serveCancel)
	e.mux.HandleFunc("GET /health", e.serveHealth)
	e.mux.HandleFunc("PUT /role", e.serveRole)
	e.mux.HandleFunc("PUT /control", e.serveControl)
	e.mux.HandleFunc("PUT /control/cold", e.serveTurnCold)
	e.mux.HandleFunc("GET /control/counts", e.serveCounts)
	return e
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !strings.HasPrefix(r.URL.Path, "/control") {
		e.mu.Lock()
		faults := e.faults
		e.mu.Unlock()
		if faults.Dead {
			panic(http.ErrAbortHandler)
		}
		r = r.WithContext(context.WithValue(r.Context(), arrivalKey{}, time.Now()))
		if faults.Paused {
			e.waitWhilePaused(r.Context())
		}
	}
	e.mux.ServeHTTP(w, r)
}

// arrivalKey is the context key of the time at which a request arrived.
type arrivalKey struct{}

// arrival returns when the request arrived. A paused engine handles it later.
func arrival(r *http.Request) time.Time {
	at, _ := r.Context().Value(arrivalKey{}).(time.Time)
	return at
}

const pausePollInterval = 20 * time.Millisecond

func (e *Engine) waitWhilePaused(ctx context.Context) {
	for ctx.Err() == nil {
		e.mu.Lock()
		paused := e.faults.Paused
		e.mu.Unlock()
		if !paused {
			return
		}
		time.Sleep(pausePollInterval)
	}
}

func (e *Engine) state(now time.Time) string {
	switch {
	case e.role.Group == "":
		return "idle"
	case now.Before(e.loadedAt):
		return "loading"
	case now.Before(e.coldUntil):
		return "cold"
	default:
		return "warm"
	}
}

func (e *Engine) serveHealth(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, engineHealthWire{
		State:      e.state(time.Now()),
		Group:      e.role.Group,
		Generation: e.role.Generation,
		Running:    e.running,
		Queued:     len(e.slotQueue),
		Leaving:    e.faults.Leaving,
	})
}

func (e *Engine) serveRole(w http.ResponseWriter, r *http.Request) {
	var order roleWire
	if !readJSON(w, r, &order) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if order.Generation < e.role.Generation {
		e.counts.StaleOrders++
		if e.rejectStale {
			http.Error(w, "stale generation", http.StatusConflict)
			return
		}
	}
	e.apply(order, time.Now())
}

// apply applies a role order. An order that changes only the generation doesn't
// reload the model and doesn't end running responses.
func (e *Engine) apply(order roleWire, now time.Time) {
	same := order.Group == e.role.Group && order.Model == e.model &&
		strings.Join(order.Members, ",") == strings.Join(e.role.Members, ",")
	e.role = order
	if same {
		return
	}
	e.model = order.Model
	e.loadedAt = now.Add(e.speed.LoadTime)
	e.coldUntil = e.loadedAt.Add(e.speed.ColdTime)
	e.coldVisibleAt = now
	e.missingSince = time.Time{}
	for _, s := range e.streams {
		s.stop()
	}
	e.streams = make(map[string]*engineStream)
}

func (e *Engine) serveCancel(_ http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	s := e.streams[r.PathValue("id")]
	delete(e.streams, r.PathValue("id"))
	e.mu.Unlock()
	if s != nil {
		s.stop()
		s.releaseSlot()
	}
}

func rejectNotRun(w http.ResponseWriter, reason string) {
	w.Header().Set(caller.RunHeader, string(caller.NotRun))
	http.Error(w, reason, http.StatusServiceUnavailable)
}

// countRequest counts a request and the invariants that it violates. Whether a
// member was missing for too long is decided by the time of arrival, since a
// paused leader handles the request later.
func (e *Engine) countRequest(now, arrived time.Time) {
	e.counts.Requests++
	if !e.missingSince.IsZero() && arrived.Sub(e.missingSince) > propagationGrace {
		e.counts.SentToIncompleteGroup++
	}
	if !e.zoneOutSince.IsZero() && now.Sub(e.zoneOutSince) > zonePropagationGrace {
		e.counts.SentToZoneOut++
	}
	if !e.leavingSince.IsZero() && now.Sub(e.leavingSince) > zonePropagationGrace {
		e.counts.SentToLeaving++
	}
	overLimit := e.running+len(e.slotQueue) >= e.speed.ColdLimit
	if e.state(now) == "cold" && overLimit && now.After(e.coldVisibleAt) {
		e.counts.ColdLimitExceeded++
	}
}

// lastEventNumber returns the number of the last event that a resuming caller
// received, from its Last-Event-ID header (request ID, slash, number).
func lastEventNumber(r *http.Request) (int, bool) {
	_, number, found := strings.Cut(r.Header.Get("Last-Event-ID"), "/")
	if !found {
		return 0, false
	}
	n, err := strconv.Atoi(number)
	return n, err == nil
}
