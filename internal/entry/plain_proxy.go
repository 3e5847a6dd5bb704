package entry

import (
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/internal/backend"
	"github.com/hibiscuspulley/hibiscuspulley/internal/config"
	"github.com/hibiscuspulley/hibiscuspulley/internal/grouping"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/operator"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/platform"
)

const (
	// maxPlainAttempts is the largest number of attempts per call.
	maxPlainAttempts = 3
	// maxReplayBytes is the largest request body that is buffered for a retry.
	maxReplayBytes = 64 << 10
	// idempotentResponseTimeout bounds the wait for the response header of an
	// idempotent call.
	idempotentResponseTimeout = 10 * time.Second
	// nonIdempotentResponseTimeout bounds the wait for the response header of a
	// call that is not idempotent and so can't be retried.
	nonIdempotentResponseTimeout = 30 * time.Second
	// avoidDuration is how long a target that failed a request is skipped, and a
	// backend server that failed a call is tried last.
	avoidDuration = 2 * time.Second
	// copyBufferBytes is the size of the buffer that response bodies are copied
	// with.
	copyBufferBytes = 32 << 10
)

// plainProxy forwards calls to the backend servers of plain services.
type plainProxy struct {
	zone    string
	config  *config.Log
	view    func() *grouping.View
	budgets *retryBudgets
	// pooled reuses connections and serves idempotent calls. All other calls
	// use unpooled, which opens a new connection per call: on a reused
	// connection, the transport itself may send a request twice.
	pooled   *http.Transport
	unpooled *http.Transport

	mu sync.Mutex
	// failedAt maps the name of an instance to the time of its last failed call.
	failedAt map[string]time.Time
	// rotation is the round-robin counter, which all services and zones share.
	rotation int
}

func newPlainProxy(zone string, cfg *config.Log, view func() *grouping.View, b *retryBudgets, o options) *plainProxy {
	o.dial = DialFunc(backend.ResetOnClose(backend.DialFunc(o.dial)))
	pooled := o.plainTransport()
	pooled.MaxIdleConnsPerHost = 32
	pooled.IdleConnTimeout = 10 * time.Second
	pooled.ResponseHeaderTimeout = idempotentResponseTimeout
	unpooled := o.plainTransport()
	unpooled.DisableKeepAlives = true
	unpooled.ResponseHeaderTimeout = nonIdempotentResponseTimeout
	return &plainProxy{
		zone: zone, config: cfg, view: view, budgets: b, pooled: pooled, unpooled: unpooled,
		failedAt: make(map[string]time.Time),
	}
}

func (p *plainProxy) close() {
	p.pooled.CloseIdleConnections()
	p.unpooled.CloseIdleConnections()
}

// idempotent reports whether a call may run more than once. The first matching
// route of the service decides. If none matches, all methods except POST and PATCH
// are idempotent.
func idempotent(s operator.Service, method, path string) bool {
	for _, route := range s.Routes {
		methodFits := route.Method == "" || route.Method == method
		if methodFits && strings.HasPrefix(path, route.PathPrefix) {
			return route.Idempotent
		}
	}
	return method != http.MethodPost && method != http.MethodPatch
}

// backends returns the service's backend servers that accept new calls. Servers
// of the entry's own zone come first and recently failed servers last.
func (p *plainProxy) backends(service string) []platform.Instance {
	state := p.config.State()
	var own, others []platform.Instance
	for _, i := range p.view().Instances {
		if i.Service != service || i.Leaving || state.Instance(i.Name).Drained || state.ZoneOut(i.Zone) {
			continue
		}
		if i.Zone == p.zone {
			own = append(own, i)
		} else {
			others = append(others, i)
		}
	}
	ordered := append(p.rotate(own), p.rotate(others)...)
	now := time.Now()
	slices.SortStableFunc(ordered, func(a, b platform.Instance) int {
		return p.failureRank(a, now) - p.failureRank(b, now)
	})
	return ordered
}

// rotate sorts the instances by name in place and returns a copy that begins at
// the position of the round-robin counter, to spread calls. Each call with at
// least one instance advances the counter.
func (p *plainProxy) rotate(instances []platform.Instance) []platform.Instance {
	slices.SortFunc(instances, func(a, b platform.Instance) int { return strings.Compare(a.Name, b.Name) })
	if len(instances) == 0 {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rotation++
	start := p.rotation % len(instances)
	return append(slices.Clone(instances[start:]), instances[:start]...)
}

// failureRank returns 1 if a call to the instance failed within avoidDuration,
// and 0 otherwise, for use as a sort key.
func (p *plainProxy) failureRank(i platform.Instance, now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.failedAt[i.Name]) < avoidDuration {
		return 1
	}
	return 0
}

// recordFailure records a failed call to an instance.
func (p *plainProxy) recordFailure(i platform.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failedAt[i.Name] = time.Now()
}
