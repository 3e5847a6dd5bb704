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

// readsPerFullRead is the number of steps from one full read to the next. Only full
// reads detect deleted rows and changed sessions of other zones.
const readsPerFullRead = 15

// viewCache caches the zone's rows and the instance list. While the platform can't be
// reached, it keeps the last view.
type viewCache struct {
	logger   *logrus.Logger
	zone     string
	platform *platform.Client
	health   *platformHealth
	view     atomic.Pointer[grouping.View]

	readMu contextMutex
	// readsSinceFull counts the steps since the last full read was scheduled.
	readsSinceFull int
	// lastRevisions maps each key prefix to the table's revision at its last read. A
	// missing prefix is read in full.
	lastRevisions map[string]int64

	mu      sync.Mutex
	watcher *membership.Watcher
}

func newViewCache(logger *logrus.Logger, zone string, p *platform.Client, h *platformHealth, t membership.Timing) *viewCache {
	c := &viewCache{
		logger: logger, zone: zone, platform: p, health: h,
		readMu: newContextMutex(), lastRevisions: make(map[string]int64), watcher: membership.NewWatcher(t),
	}
	c.view.Store(&grouping.View{Zone: zone})
	return c
}

// current returns the last view. Callers must not modify it.
func (c *viewCache) current() *grouping.View {
	return c.view.Load()
}

// expiredSessions returns the zone's live sessions that have expired and may be
// marked as lapsed.
func (c *viewCache) expiredSessions() []membership.Row {
	c.mu.Lock()
	defer c.mu.Unlock()
	var rows []membership.Row
	for _, row := range c.current().Sessions {
		if row.Zone == c.zone && c.watcher.Expired(row) {
			rows = append(rows, row)
		}
	}
	return rows
}

// step reads the changed rows, or all rows if a full read is due.
func (c *viewCache) step(ctx context.Context) {
	if !c.readMu.lock(ctx) {
		return
	}
	defer c.readMu.unlock()
	c.readsSinceFull++
	if c.readsSinceFull >= readsPerFullRead {
		c.scheduleFullRead()
	}
	c.read(ctx)
}

// refresh reads all rows, for example after a transaction has failed because the
// view was out of date.
func (c *viewCache) refresh(ctx context.Context) {
	if !c.readMu.lock(ctx) {
		return
	}
	defer c.readMu.unlock()
	c.scheduleFullRead()
	c.read(ctx)
}

// scheduleFullRead makes the next read a full one.
func (c *viewCache) scheduleFullRead() {
	c.readsSinceFull = 0
	clear(c.lastRevisions)
}

// read updates the view. If it fails, the view stays unchanged. If a read of the
// table failed, the next read is full. If only the instance list could not be read,
// the next read is not: rows that this read returned may be missing from the view
// until the next full read. The caller holds readMu.
func (c *viewCache) read(ctx context.Context) {
	sentAt := time.Now()
	previous := c.current()
	// Between full reads, only the sessions of this zone are read.
	sessions, err := readChanged(ctx, c, membership.KeyPrefix, c.zone+"/", previous.Sessions, membership.Decode, sessionEntry)
	if c.health.record(err) != nil {
		return
	}
	groups, err := readChanged(ctx, c, grouping.GroupPrefix+c.zone+"/", "", previous.Groups, grouping.DecodeGroup, groupName)
	if err != nil {
		return
	}
	assignments, err := readChanged(ctx, c, grouping.AssignmentPrefix+c.zone+"/", "", previous.Assignments, grouping.DecodeAssignment, assignedInstance)
	if err != nil {
		return
	}
	instances, err := c.platform.Instances(ctx)
	if err != nil {
		return
	}
	c.store(sentAt, &grouping.View{
		Zone: c.zone, Groups: groups, Assignments: assignments,
		Instances: byInstance(instances), Sessions: sessions,
	})
}

// store replaces the view and observes its sessions. The read was sent at sentAt.
func (c *viewCache) store(sentAt time.Time, next *grouping.View) {
	c.mu.Lock()
	defer c.mu.Unlock()
	rows := make([]membership.Row, 0, len(next.Sessions))
	for _, row := range next.Sessions {
		rows = append(rows, row)
	}
	c.watcher.Observe(sentAt, time.Now(), rows)
	c.view.Store(next)
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

// readChanged returns the previous rows, updated by the rows that have changed since
// the last read of the prefix and whose keys begin with prefix and subPrefix. A full
// read ignores previous and subPrefix and returns all rows of the prefix. A row that
// can't be decoded is logged and skipped, so the other rows stay usable.
func readChanged[T any](ctx context.Context, c *viewCache, prefix, subPrefix string, previous map[string]T, decode func(platform.Row) (T, error), name func(T) string) (map[string]T, error) {
	since := c.lastRevisions[prefix]
	if since == 0 {
		subPrefix = ""
	}
	rows, revision, err := c.platform.Changed(ctx, prefix+subPrefix, since)
	if err != nil {
		c.scheduleFullRead() // a full read misses no change
		return nil, err
	}
	next := make(map[string]T, len(previous))
	if since > 0 {
		maps.Copy(next, previous)
	}
	for _, row := range rows {
		value, err := decode(row)
		if err != nil {
			event.RowInvalid.Log(c.logger, logrus.Fields{"error": err})
			continue
		}
		next[name(value)] = value
	}
	c.lastRevisions[prefix] = revision
	return next, nil
}
