package entry

import (
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/internal/config"
	"github.com/hibiscuspulley/hibiscuspulley/internal/grouping"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/operator"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/platform"
)

const (
	// plainTries bounds how many backend servers a call may be offered to.
	plainTries = 3
	// replayBytes is the largest body that is kept for another try.
	replayBytes = 64 << 10
	// firstByteTimeout bounds the wait for an idempotent call's answer.
	firstByteTimeout = 10 * time.Second
	// answerTimeout bounds the wait for a call that can't be repeated.
	answerTimeout = 30 * time.Second
	// avoidTime is how long what has failed a call is passed over or tried
	// last.
	avoidTime = 2 * time.Second
	copyBytes = 32 << 10
)

// plainProxy sends calls to the backend servers of plain services.
type plainProxy struct {
	zone    string
	config  *config.Log
	view    func() *grouping.View
	budgets *budgets
	// pooled reuses connections. Calls that can't be repeated go through
	// fresh instead, where each call has a new connection: on a reused one the
	// transport itself may send a request twice.
	pooled *http.Transport
	fresh  *http.Transport

	mu     sync.Mutex
	failed map[string]time.Time
	turn   int
}

func newPlainProxy(zone string, cfg *config.Log, view func() *grouping.View, b *budgets, o options) *plainProxy {
	pooled := o.plainTransport()
	pooled.MaxIdleConnsPerHost = 32
	pooled.IdleConnTimeout = 10 * time.Second
	pooled.ResponseHeaderTimeout = firstByteTimeout
	fresh := o.plainTransport()
	fresh.DisableKeepAlives = true
	fresh.ResponseHeaderTimeout = answerTimeout
	return &plainProxy{
		zone: zone, config: cfg, view: view, budgets: b, pooled: pooled, fresh: fresh,
		failed: make(map[string]time.Time),
	}
}

func (p *plainProxy) close() {
	p.pooled.CloseIdleConnections()
	p.fresh.CloseIdleConnections()
}

// idempotent reports whether a call may run more than once.
func idempotent(s operator.Service, method, path string) bool {
	for _, route := range s.Routes {
		methodFits := route.Method == "" || route.Method == method
		if methodFits && strings.HasPrefix(path, route.PathPrefix) {
			return route.Idempotent
		}
	}
	return method != http.MethodPost && method != http.MethodPatch
}

// backends returns the service's backend servers that take new work, those of
// the own zone first and those that failed lately last.
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
		return p.recentlyFailed(a, now) - p.recentlyFailed(b, now)
	})
	return ordered
}

// rotate orders instances so that calls spread over them.
func (p *plainProxy) rotate(instances []platform.Instance) []platform.Instance {
	slices.SortFunc(instances, func(a, b platform.Instance) int { return strings.Compare(a.Name, b.Name) })
	if len(instances) == 0 {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.turn++
	start := p.turn % len(instances)
	return append(slices.Clone(instances[start:]), instances[:start]...)
}

func (p *plainProxy) recentlyFailed(i platform.Instance, now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.failed[i.Name]) < avoidTime {
		return 1
	}
	return 0
}

func (p *plainProxy) noteFailed(i platform.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failed[i.Name] = time.Now()
}
