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

// leadLoads is how many times as many loads run at once before the first
// request as run at full speed.
const leadLoads = 7

// loadLimit paces the loads from the weight store that a zone starts.
type loadLimit struct {
	limiter *rate.Limiter
	// rank is the zone's place among all zones: the first ones take the rest
	// of what does not divide evenly.
	rank int
}

func newLoadLimit(rank int) *loadLimit { return &loadLimit{rank: rank} }

// atOnce returns the zone's part of the loads that run at full speed.
func (l *loadLimit) atOnce(e *routes.Engine, zones int) int {
	n := e.MaxConcurrentLoads / zones
	if l.rank < e.MaxConcurrentLoads%zones {
		n++
	}
	return max(n, 1)
}

// take reports whether one more load may start while so many are in progress.
// Before the first request the weight store has no bound on starts.
func (l *loadLimit) take(now time.Time, e *routes.Engine, zones, inProgress int, lead bool) bool {
	if lead {
		return inProgress < leadLoads*l.atOnce(e, zones)
	}
	if inProgress >= l.atOnce(e, zones) {
		return false
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
func (s *Controller) needsLoad(srv *registry.Server, model string) bool {
	return !slices.Contains(srv.Staged, model) && !slices.Contains(srv.Loaded, model)
}

// loading counts the servers of the zone that are loading weights: members
// that join without having them, and spares that were told to stage them.
func (s *Controller) loading(v *registry.View, now time.Time) int {
	loading := make(map[registry.Incarnation]bool)
	for key, sent := range s.sent {
		srv := v.Servers[key.server.ID]
		if srv == nil || srv.StartTime != key.server.StartTime || !s.needsLoad(srv, key.model) {
			continue
		}
		recent := now.Sub(sent.at) < resendAfter
		switch key.operation {
		case Join:
			joining := srv.Member != nil && srv.Member.Group == key.group && srv.Member.State == registry.Joining
			loading[key.server] = loading[key.server] || joining || recent
		case Stage:
			begun := sent.outcome == Begun && now.Sub(sent.at) < formingTimeout && srv.Member == nil
			loading[key.server] = loading[key.server] || begun || recent
		case Open, Close, Leave:
		}
	}
	n := 0
	for _, is := range loading {
		if is {
			n++
		}
	}
	return n
}
