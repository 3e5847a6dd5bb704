package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hibiscuspulley/hibiscuspulley/internal/event"
	"github.com/hibiscuspulley/hibiscuspulley/internal/grouping"
	"github.com/hibiscuspulley/hibiscuspulley/internal/membership"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/platform"
)

// viewKeeper reads the zone's rows and the instance list. While the platform
// can't be reached, the last view stays.
type viewKeeper struct {
	logger   *logrus.Logger
	zone     string
	platform *platform.Client
	health   *platformHealth
	view     atomic.Pointer[grouping.View]

	mu      sync.Mutex
	watcher *membership.Watcher
}

func newViewKeeper(logger *logrus.Logger, zone string, p *platform.Client, h *platformHealth, t membership.Timing) *viewKeeper {
	k := &viewKeeper{logger: logger, zone: zone, platform: p, health: h, watcher: membership.NewWatcher(t)}
	k.view.Store(&grouping.View{Zone: zone})
	return k
}

// current returns the last view. It must not be changed.
func (k *viewKeeper) current() *grouping.View {
	return k.view.Load()
}

// silent returns the live sessions of the zone that may be lapsed.
func (k *viewKeeper) silent() []membership.Row {
	k.mu.Lock()
	defer k.mu.Unlock()
	var rows []membership.Row
	for _, row := range k.current().Sessions {
		if row.Zone == k.zone && k.watcher.Silent(row) {
			rows = append(rows, row)
		}
	}
	return rows
}

// step reads everything anew. A read that fails leaves the view as it is.
func (k *viewKeeper) step(ctx context.Context) {
	sentAt := time.Now()
	sessions, err := k.platform.Range(ctx, membership.KeyPrefix)
	if k.health.note(err) != nil {
		return
	}
	groups, err := k.platform.Range(ctx, grouping.GroupPrefix+k.zone+"/")
	if err != nil {
		return
	}
	assignments, err := k.platform.Range(ctx, grouping.AssignmentPrefix+k.zone+"/")
	if err != nil {
		return
	}
	instances, err := k.platform.Instances(ctx)
	if err != nil {
		return
	}
	next := &grouping.View{
		Zone:        k.zone,
		Groups:      decodeAll(k, groups, grouping.DecodeGroup, groupName),
		Assignments: decodeAll(k, assignments, grouping.DecodeAssignment, assignedInstance),
		Instances:   byInstance(instances),
		Sessions:    decodeAll(k, sessions, membership.Decode, sessionEntry),
	}
	k.store(sentAt, next)
}

func (k *viewKeeper) store(sentAt time.Time, next *grouping.View) {
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

// decodeAll decodes rows by name. A row that can't be decoded is logged and
// passed over, so that it does not hide the others.
func decodeAll[T any](k *viewKeeper, rows []platform.Row, decode func(platform.Row) (T, error), name func(T) string) map[string]T {
	decoded := make(map[string]T, len(rows))
	for _, row := range rows {
		value, err := decode(row)
		if err != nil {
			event.RowUnreadable.Log(k.logger, logrus.Fields{"error": err})
			continue
		}
		decoded[name(value)] = value
	}
	return decoded
}
