package formation

import (
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/hibiscuspulley/hibiscuspulley/internal/registry"
	"github.com/hibiscuspulley/hibiscuspulley/internal/routes"
)

// loadRateFraction keeps the combined load rate of all zones below the weight
// store's limit, since each zone limits its own rate independently.
const loadRateFraction = 0.9

// bootstrapLoadFactor is the factor by which concurrent loads may exceed the
// number that run at full speed, before the first request.
const bootstrapLoadFactor = 7

// loadLimiter limits the loads from the weight store that a zone starts.
type loadLimiter struct {
	limiter *rate.Limiter
	// rank is the zone's index among all zones. The lowest ranks get one load more
	// when the limit does not divide evenly.
	rank int
}

func newLoadLimiter(rank int) *loadLimiter { return &loadLimiter{rank: rank} }

// maxConcurrent returns the zone's share of the concurrent loads that still run
// at full speed, at least one.
func (l *loadLimiter) maxConcurrent(e *routes.Engine, zones int) int {
	n := e.MaxConcurrentLoads / zones
	if l.rank < e.MaxConcurrentLoads%zones {
		n++
	}
	return max(n, 1)
}

// allow reports whether one more load may start while inProgress loads run. If it
// may, the load is charged to the rate limit. Before the first request only the
// concurrency is limited, because the weight store does not limit the rate of
// starts then.
func (l *loadLimiter) allow(now time.Time, e *routes.Engine, zones, inProgress int, bootstrapping bool) bool {
	if bootstrapping {
		return inProgress < bootstrapLoadFactor*l.maxConcurrent(e, zones)
	}
	if inProgress >= l.maxConcurrent(e, zones) {
		return false
	}
	perZone := rate.Limit(e.LoadsPerSecond * loadRateFraction / float64(zones))
	if l.limiter == nil {
		l.limiter = rate.NewLimiter(perZone, max(int(perZone), 1))
	}
	if l.limiter.Limit() != perZone {
		l.limiter.SetLimitAt(now, perZone)
	}
	return l.limiter.AllowN(now, 1)
}

// needsLoad reports whether a server must load weights to join a group of the
// model.
func (c *Controller) needsLoad(srv *registry.Server, model string) bool {
	return !slices.Contains(srv.Staged, model) && !slices.Contains(srv.Loaded, model)
}

// loadsInProgress counts the servers of the zone that are loading weights:
// members that join without having them, and free servers that were ordered to
// stage them. An order younger than resendAfter counts even without an effect.
func (c *Controller) loadsInProgress(v *registry.View, now time.Time) int {
	loading := make(map[registry.Incarnation]bool)
	for key, sent := range c.sentOrders {
		srv := v.Servers[key.server.ID]
		if srv == nil || srv.StartTime != key.server.StartTime || !c.needsLoad(srv, key.model) {
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
	for _, active := range loading {
		if active {
			n++
		}
	}
	return n
}
