package formation

import (
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/hibiscuspulley/hibiscuspulley/internal/registry"
	"github.com/hibiscuspulley/hibiscuspulley/internal/routes"
)

// loadMargin keeps the zones together below the weight store's rate, since
// each zone counts for itself.
const loadMargin = 0.9

// loadLimit paces the loads from the weight store that a zone starts.
type loadLimit struct {
	limiter *rate.Limiter
}

func newLoadLimit() *loadLimit { return &loadLimit{} }

// take reports whether one more load may start while so many are in progress.
// Before the first request the weight store has no bound on starts.
func (l *loadLimit) take(now time.Time, e *routes.Engine, zones, inProgress int, lead bool) bool {
	if inProgress >= max(e.LoadsAtOnce/zones, 1)+1 {
		return false
	}
	if lead {
		return true
	}
	perZone := rate.Limit(e.LoadsPerSecond * loadMargin / float64(zones))
	if l.limiter == nil {
		l.limiter = rate.NewLimiter(perZone, max(int(perZone), 1))
	}
	if l.limiter.Limit() != perZone {
		l.limiter.SetLimitAt(now, perZone)
	}
	return l.limiter.AllowN(now, 1)
}

// needsLoad reports whether joining a group of the model would load weights.
func (s *Steward) needsLoad(srv *registry.Server, model string) bool {
	return !slices.Contains(srv.Staged, model) && !slices.Contains(srv.Loaded, model)
}

// loading counts the servers of the zone that are loading weights.
func (s *Steward) loading(v *registry.View, now time.Time) int {
	n := 0
	counted := make(map[registry.Lifetime]bool)
	for key, sent := range s.sent {
		if counted[key.server] || (key.operation != Join && key.operation != Stage) {
			continue
		}
		srv := v.Servers[key.server.ID]
		if srv == nil || srv.Born != key.server.Born || !s.needsLoad(srv, key.model) {
			continue
		}
		if sent.outcome == Begun || now.Sub(sent.at) < resendAfter {
			counted[key.server] = true
			n++
		}
	}
	return n
}
