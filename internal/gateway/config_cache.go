package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hibiscuspulley/hibiscuspulley/internal/event"
	"github.com/hibiscuspulley/hibiscuspulley/internal/routes"
	"github.com/hibiscuspulley/hibiscuspulley/internal/store"
)

// configCache holds what operators store in the operator table: the
// configuration and the evacuated availability zones. It records how recent both
// are.
type configCache struct {
	platform Platform
	logger   *logrus.Logger
	// onTable and onEvacuated are called with mu held after a change.
	// onEvacuated must not modify the map.
	onTable     func(*routes.Table)
	onEvacuated func(map[string]bool)

	// table is nil until a valid configuration has been received.
	table atomic.Pointer[routes.Table]
	// confirmedNanos is the result of confirmedAt, in nanoseconds since boot.
	confirmedNanos atomic.Int64

	mu        sync.Mutex
	evacuated map[string]bool
}

// confirmedAt returns the time up to which every change of the operator table
// has been received. Rejected configurations count as received. The time is of
// the boot clock, which gives the time since boot as a time.Time. Before the first
// update it is time.Unix(0, 0), the time of the boot.
func (cc *configCache) confirmedAt() time.Time {
	return time.Unix(0, cc.confirmedNanos.Load())
}

// apply applies an update of the operator table. It ignores the deletion of
// the configuration row.
func (cc *configCache) apply(u store.Update) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	evacuated := make(map[string]bool)
	if !u.Full {
		for zone := range cc.evacuated {
			evacuated[zone] = true
		}
	}
	for _, row := range u.Rows {
		if cc.platform.IsConfig(row.Key) && !row.Deleted {
			cc.applyConfig(row)
		}
		if zone, ok := cc.platform.EvacuatedZone(row.Key); ok {
			evacuated[zone] = true
			if row.Deleted {
				delete(evacuated, zone)
			}
		}
	}
	cc.applyEvacuated(evacuated)
	cc.confirmedNanos.Store(u.AsOf.UnixNano())
}

// applyConfig applies a configuration that is newer than the current one. It
// logs and ignores a row that can't be decoded or has an older configuration. A
// row with the current version is ignored without a log.
func (cc *configCache) applyConfig(row store.Row) {
	c, err := cc.platform.DecodeConfig(row.Value)
	if err != nil {
		event.ConfigRejected.Log(cc.logger, logrus.Fields{"row-version": row.Version, "error": err})
		return
	}
	old := cc.table.Load()
	if old != nil && c.Version <= old.Config.Version {
		if c.Version < old.Config.Version {
			event.ConfigRejected.Log(cc.logger, logrus.Fields{
				"row-version": row.Version, "version": c.Version, "in-force": old.Config.Version,
			})
		}
		return
	}
	t := routes.NewTable(c)
	cc.table.Store(t)
	cc.onTable(t)
	event.ConfigApplied.Log(cc.logger, logrus.Fields{
		"version": c.Version, "row-version": row.Version, "routes": len(c.Routes), "organisations": len(c.Organisations),
		"keyless": c.Keyless,
	})
}

func (cc *configCache) applyEvacuated(evacuated map[string]bool) {
	changed := len(evacuated) != len(cc.evacuated)
	for zone := range evacuated {
		changed = changed || !cc.evacuated[zone]
	}
	if !changed {
		return
	}
	cc.evacuated = evacuated
	cc.onEvacuated(evacuated)
	zones := make([]string, 0, len(evacuated))
	for zone := range evacuated {
		zones = append(zones, zone)
	}
	event.EvacuatedZonesChanged.Log(cc.logger, logrus.Fields{"zones": zones})
}
