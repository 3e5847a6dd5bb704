package gateway

import (
	"context"
	"expvar"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/hibiscuspulley/hibiscuspulley/internal/event"
	"github.com/hibiscuspulley/hibiscuspulley/internal/quarantine"
	"github.com/hibiscuspulley/hibiscuspulley/internal/store"
)

const (
	// quarantineStepInterval is the time between two decisions about the parts
	// that are charged with crashes.
	quarantineStepInterval = 50 * time.Millisecond
	// quarantinePollWait is how long the store may hold a feed call for the
	// quarantine. Its rows change rarely, and each call is billed.
	quarantinePollWait = 10 * time.Second
	// verdictWait is how long a retry waits for the verdict on the server of the
	// broken attempt. A crashed server refuses the probe within a round trip.
	verdictWait = 50 * time.Millisecond
	// aliveAfter is how long after the first event of a response its server must
	// still write for the request's parts to count as sound.
	aliveAfter = 200 * time.Millisecond
)

// isolation keeps the prompt parts that crash servers away from them. It connects
// the tracker, which decides, to the store and the log.
type isolation struct {
	gateway *Gateway
	tracker *quarantine.Tracker
	health  storeHealth
	// loaded is closed once the quarantine was read from the store.
	loaded chan struct{}
}

func newIsolation(g *Gateway) *isolation {
	return &isolation{
		gateway: g, tracker: quarantine.NewTracker(g.settings.Name), loaded: make(chan struct{}),
		health: storeHealth{logger: g.logger, table: quarantine.Table},
	}
}

// publish adds the numbers of parts to the metrics.
func (i *isolation) publish(vars *expvar.Map) {
	vars.Set("suspect-parts", expvar.Func(func() any { n, _ := i.tracker.Counts(); return n }))
	vars.Set("parts-in-quarantine", expvar.Func(func() any { _, n := i.tracker.Counts(); return n }))
}

// ready reports whether the quarantine was read from the store.
func (i *isolation) ready() bool {
	select {
	case <-i.loaded:
		return true
	default:
		return false
	}
}

// follow applies the rows of the quarantine as they change.
func (i *isolation) follow(ctx context.Context) {
	f := i.gateway.follower(quarantine.Table, quarantinePollWait)
	f.MinInterval = func() time.Duration { return 0 }
	f.Paused = func() bool { return !i.gateway.relays.readsStore() }
	f.Run(ctx, i.gateway.platform.Store)
}

// apply applies an update of the quarantine.
func (i *isolation) apply(u store.Update) {
	i.tracker.ApplyRows(time.Now(), i.decodeRows(u.Rows), u.Full)
	for _, row := range u.Missing {
		i.tracker.HandleRowLost(row.Key)
	}
	if !i.ready() {
		close(i.loaded)
	}
}

func (i *isolation) decodeRows(rows []store.Row) []quarantine.Row {
	decoded := make([]quarantine.Row, 0, len(rows))
	for _, row := range rows {
		r := quarantine.Row{Part: row.Key, Version: row.Version, Deleted: row.Deleted}
		if !row.Deleted {
			record, err := quarantine.DecodeRecord(row.Key, row.Value)
			if err != nil {
				// The row still holds the part back; only its history is unknown.
				event.RowInvalid.Log(i.gateway.logger, logrus.Fields{"table": quarantine.Table, "key": row.Key, "error": err})
				record = quarantine.Record{Part: row.Key}
			}
			r.Record = record
		}
		decoded = append(decoded, r)
	}
	return decoded
}

// decide makes the decisions that are due until ctx ends.
func (i *isolation) decide(ctx context.Context) {
	every(ctx, quarantineStepInterval, func() {
		for _, change := range i.tracker.Step(time.Now()) {
			i.log(change)
		}
	})
}

// record makes the writes that are due until ctx ends. A store that does not
// respond delays it, but no decision.
func (i *isolation) record(ctx context.Context) {
	every(ctx, quarantineStepInterval, func() {
		for _, w := range i.tracker.Writes(time.Now()) {
			i.write(ctx, w)
		}
	})
}

// every calls f at each interval until ctx ends.
func every(ctx context.Context, interval time.Duration, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f()
		}
	}
}

func (i *isolation) log(change quarantine.Change) {
	fields := logrus.Fields{"part": change.Part, "reason": change.Reason, "trials": change.Record.Trials}
	if !change.Quarantined {
		event.PartReleased.Log(i.gateway.logger, fields)
		return
	}
	fields["servers"], fields["requests"], fields["entry"] = change.Record.Servers, change.Record.Requests, change.Record.Entry
	event.PartQuarantined.Log(i.gateway.logger, fields)
}

// write makes one change of the quarantine in the store. A failed write is due
// again later.
func (i *isolation) write(ctx context.Context, w quarantine.Write) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	key := store.RowKey{Table: quarantine.Table, Key: w.Part}
	tx := store.Transaction{
		Conditions: []store.Condition{{RowKey: key, Version: w.Version}}, ReadAt: i.gateway.table(quarantine.Table).cache.Version(),
	}
	if w.Delete {
		tx.Deletes = []store.RowKey{key}
	} else {
		value, err := w.Record.Encode()
		if err != nil {
			i.gateway.logger.WithError(err).Error("a quarantine can't be recorded")
			return
		}
		tx.Puts = []store.Put{{RowKey: key, Value: value}}
	}
	version, err := i.gateway.platform.Store.Commit(ctx, tx)
	if errors.Is(err, store.ErrConflict) {
		i.health.record(nil) // the feed brings the row's new version
		return
	}
	i.health.record(err)
	if err != nil {
		return
	}
	i.tracker.HandleWritten(time.Now(), w, version)
	if w.Trial {
		event.PartTried.Log(i.gateway.logger, logrus.Fields{"part": w.Part, "trials": w.Record.Trials})
	}
}

// hold rejects the request if one of its prompt parts is in quarantine.
func (i *isolation) hold(w http.ResponseWriter, c *call) bool {
	v := i.tracker.Judge(time.Now(), c.sharedParts())
	if v.Trial {
		c.trial = true
		c.addNote("trial of prompt part " + v.Part)
	}
	if !v.Held {
		return false
	}
	i.gateway.metrics.heldBack.Add(1)
	i.gateway.reject(w, c, http.StatusServiceUnavailable, v.RetryAfter,
		"prompt part "+v.Part+" is in quarantine because it crashes backend servers")
	return true
}

// maySend reports whether a request may be sent as far as its prompt parts are
// concerned. They can have come into quarantine while it waited. isRetry is set if it may
// run at a server already.
func (i *isolation) maySend(c *call, isRetry bool) bool {
	if c.trial && !isRetry {
		return true
	}
	switch parts := c.sharedParts(); {
	case i.tracker.Held(parts):
		c.addNote("a prompt part is in quarantine")
		return false
	case isRetry && i.tracker.Suspected(parts):
		c.addNote("a prompt part may crash servers")
		return false
	}
	return true
}

// attemptBroke examines a broken attempt. If it had no event and its server
// crashed, the request's parts are charged. It returns once that is known, or
// after verdictWait.
func (i *isolation) attemptBroke(ctx context.Context, attempt *streamAttempt) {
	c := attempt.relay.call
	a := brokenAttempt{
		server: attempt.reservation.Server, request: c.info.ID, parts: c.sharedParts(), brokenAt: time.Now(),
		events: attempt.events, firstEvent: attempt.firstEvent,
	}
	done := make(chan struct{})
	content := c.contentID()
	i.gateway.spawn(func() {
		defer close(done)
		if i.gateway.crashes.examine(a) == serverCrashed && a.events == 0 {
			i.tracker.RecordCrash(time.Now(), a.server.Incarnation(), content, a.parts)
		}
	})
	if a.events > 0 || len(a.parts) == 0 {
		return
	}
	timer := time.NewTimer(verdictWait)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	case <-ctx.Done():
	}
}
