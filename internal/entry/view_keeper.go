package entry

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hibiscuspulley/hibiscuspulley/internal/event"
	"github.com/hibiscuspulley/hibiscuspulley/internal/grouping"
	"github.com/hibiscuspulley/hibiscuspulley/internal/membership"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/platform"
)

// fullReadSteps is how many reads of changed rows lie between two full reads,
// which also show what was deleted and the sessions of other zones.
const fullReadSteps = 15

// viewCache reads the zone's rows and the instance list. While the platform
// can't be reached, the last view stays.
type viewCache struct {
	logger   *logrus.Logger
	zone     string
	platform *platform.Client
	health   *platformHealth
	view     atomic.Pointer[grouping.View]

	turn contextMutex
	// steps counts the reads since the last full one.
	steps int
	// since holds the table's revision at the last read of each prefix.
	since map[string]int64

	mu      sync.Mutex
	watcher *membership.Watcher
}

func newViewCache(logger *logrus.Logger, zone string, p *platform.Client, h *platformHealth, t membership.Timing) *viewCache {
	k := &viewCache{
		logger: logger, zone: zone, platform: p, health: h,
		turn: newContextMutex(), since: make(map[string]int64), watcher: membership.NewWatcher(t),
	}
	k.view.Store(&grouping.View{Zone: zone})
	return k
}

// current returns the last view. It must not be changed.
func (k *viewCache) current() *grouping.View {
	return k.view.Load()
}

// silent returns the live sessions of the zone that may be lapsed.
func (k *viewCache) silent() []membership.Row {
	k.mu.Lock()
	defer k.mu.Unlock()
	var rows []membership.Row
	for _, row := range k.current().Sessions {
		if row.Zone == k.zone && k.watcher.Expired(row) {
			rows = append(rows, row)
		}
	}
	return rows
}

// step reads what has changed, and now and then everything.
func (k *viewCache) step(ctx context.Context) {
	if !k.turn.lock(ctx) {
		return
	}
	defer k.turn.unlock()
	k.steps++
	if k.steps >= fullReadSteps {
		k.forget()
	}
	k.read(ctx)
}

// refresh reads everything, after a transaction found another state than the
// view shows.
func (k *viewCache) refresh(ctx context.Context) {
	if !k.turn.lock(ctx) {
		return
	}
	defer k.turn.unlock()
	k.forget()
	k.read(ctx)
}

// forget makes the next read a full one.
func (k *viewCache) forget() {
	k.steps = 0
	clear(k.since)
}

// read brings the view up to date. A read that fails leaves it as it is.
func (k *viewCache) read(ctx context.Context) {
	sentAt := time.Now()
	known := k.current()
	// Between full reads, only the own zone's sessions matter.
	sessions, err := readChanged(ctx, k, membership.KeyPrefix, k.zone+"/", known.Sessions, membership.Decode, sessionEntry)
	if k.health.note(err) != nil {
		return
	}
	groups, err := readChanged(ctx, k, grouping.GroupPrefix+k.zone+"/", "", known.Groups, grouping.DecodeGroup, groupName)
	if err != nil {
		return
	}
	assignments, err := readChanged(ctx, k, grouping.AssignmentPrefix+k.zone+"/", "", known.Assignments, grouping.DecodeAssignment, assignedInstance)
	if err != nil {
		return
	}
	instances, err := k.platform.Instances(ctx)
	if err != nil {
		return
	}
	k.store(sentAt, &grouping.View{
		Zone: k.zone, Groups: groups, Assignments: assignments,
		Instances: byInstance(instances), Sessions: sessions,
	})
}

func (k *viewCache) store(sentAt time.Time, next *grouping.View) {
	k.mu.Lock()
	defer k.mu.Unlock()
	rows := make([]membership.Row, 0, len(next.Sessions))
	for _, row := range next.Sessions {
		rows = append(rows, row)
	}
	k.watcher.Observe(sentAt, rows)
	k.view.Store(next)
}

func groupName(g grouping.GroupRow) string { return g.Name }

func assignedInstance(a grouping.AssignmentRow) string { return a.Instance }

func sessionEntry(s membership.Row) string { return s.Entry }

func byInstance(list []platform.Instance) map[string]platform.Instance {
	m := make(map[string]platform.Instance, len(list))
	for _, i := range list {
		m[i.Name] = i
	}
	return m
}

// readChanged returns the known rows with those that have changed since the
// prefix was read last; part narrows such a read to keys that go on with it. A
// row that can't be decoded is logged and passed over,
// so that it does not hide the others.
func readChanged[T any](ctx context.Context, k *viewCache, prefix, part string, known map[string]T, decode func(platform.Row) (T, error), name func(T) string) (map[string]T, error) {
	since := k.since[prefix]
	if since == 0 {
		part = ""
	}
	rows, revision, err := k.platform.Changed(ctx, prefix+part, since)
	if err != nil {
		k.forget() // so that no change is missed
		return nil, err
	}
	next := make(map[string]T, len(known))
	if since > 0 {
		maps.Copy(next, known)
	}
	for _, row := range rows {
		value, err := decode(row)
		if err != nil {
			event.RowInvalid.Log(k.logger, logrus.Fields{"error": err})
			continue
		}
		next[name(value)] = value
	}
	k.since[prefix] = revision
	return next, nil
}
