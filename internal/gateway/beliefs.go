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

// beliefs are what the entry holds of the operators' rows, with the age of the
// evidence.
type beliefs struct {
	platform Platform
	logger   *logrus.Logger
	onTable  func(*routes.Table)
	onOut    func(map[string]bool)

	table atomic.Pointer[routes.Table]
	// asOf is the moment, in Unix nanoseconds of the boot clock, that the
	// operators' rows are known up to.
	asOf atomic.Int64

	mu  sync.Mutex
	out map[string]bool
}

// evidence returns the moment that the operators' rows are known up to.
func (b *beliefs) evidence() time.Time {
	return time.Unix(0, b.asOf.Load())
}

// apply takes an update of the operators' table.
func (b *beliefs) apply(u store.Update) {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]bool)
	if !u.Full {
		for zone := range b.out {
			out[zone] = true
		}
	}
	for _, row := range u.Rows {
		if b.platform.IsConfig(row.Key) && !row.Deleted {
			b.applyConfig(row)
		}
		if zone, ok := b.platform.EvacuatedZone(row.Key); ok {
			out[zone] = true
			if row.Deleted {
				delete(out, zone)
			}
		}
	}
	b.applyOut(out)
	b.asOf.Store(u.AsOf.UnixNano())
}

func (b *beliefs) applyConfig(row store.Row) {
	c, err := b.platform.DecodeConfig(row.Value)
	if err != nil {
		event.ConfigRejected.Log(b.logger, logrus.Fields{"row-version": row.Version, "error": err})
		return
	}
	old := b.table.Load()
	if old != nil && c.Version <= old.Config.Version {
		if c.Version < old.Config.Version {
			event.ConfigRejected.Log(b.logger, logrus.Fields{
				"row-version": row.Version, "version": c.Version, "in-force": old.Config.Version,
			})
		}
		return
	}
	t := routes.NewTable(c)
	b.table.Store(t)
	b.onTable(t)
	event.ConfigApplied.Log(b.logger, logrus.Fields{
		"version": c.Version, "row-version": row.Version, "routes": len(c.Routes), "organisations": len(c.Organisations),
	})
}

func (b *beliefs) applyOut(out map[string]bool) {
	changed := len(out) != len(b.out)
	for zone := range out {
		changed = changed || !b.out[zone]
	}
	if !changed {
		return
	}
	b.out = out
	b.onOut(out)
	zones := make([]string, 0, len(out))
	for zone := range out {
		zones = append(zones, zone)
	}
	event.ZonesOut.Log(b.logger, logrus.Fields{"zones": zones})
}
