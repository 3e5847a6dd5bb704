package formation_test

import (
	"encoding/base64"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuspulley/hibiscuspulley/internal/formation"
	"github.com/hibiscuspulley/hibiscuspulley/internal/registry"
	"github.com/hibiscuspulley/hibiscuspulley/internal/routes"
	"github.com/hibiscuspulley/hibiscuspulley/internal/store"
)

// manyHosts is a number of hosts whose groups don't fit into one transaction.
const manyHosts = 300

// newLargeSimulation returns a simulation with manyHosts staged hosts of one model
// with groups of two.
func newLargeSimulation() *simulation {
	w := newSimulation(0)
	w.engine.Models = w.engine.Models[1:]
	for i := range manyHosts {
		w.add(fmt.Sprintf("s%03d", i), fmt.Sprintf("d%d", i/10))
	}
	for _, h := range w.hosts {
		h.Staged = "small"
	}
	w.publish()
	return w
}

// loseZone restarts all servers under their IDs, as after a power loss.
func (w *simulation) loseZone() {
	for _, id := range w.hostIDs() {
		w.crash(id)
		w.restart(id)
	}
}

// requireRecordsFit checks that the decision fits into one transaction, and that no
// server is a member of two recorded groups once it is applied.
func requireRecordsFit(t *testing.T, w *simulation, d formation.Decision) {
	t.Helper()
	require.LessOrEqual(t, len(d.NewGroups)+len(d.ObsoleteRecords), formation.MaxRecordChanges)
	records := make(map[registry.GroupID]*formation.Group)
	for id, value := range w.records {
		g, err := formation.DecodeGroup(value, w.now)
		require.NoError(t, err)
		records[id] = g
	}
	for _, id := range d.ObsoleteRecords {
		delete(records, id)
	}
	for _, g := range d.NewGroups {
		records[g.ID] = g
	}
	owner := make(map[registry.Incarnation]registry.GroupID)
	for id, g := range records {
		for _, m := range g.Members {
			require.Empty(t, owner[m].Name, "%v is a member of %s and of %s", m, id.Name, owner[m].Name)
			owner[m] = id
		}
	}
}

// Guards against a decision whose records exceed a transaction of the store, which
// would be refused and decided again without an end: the first formation of a large
// zone, and the next one after all of its groups have ended at once.
func TestRecordsOfEachDecisionFitIntoOneTransaction(t *testing.T) {
	w := newLargeSimulation()
	run := func(d time.Duration) {
		for range int(d / tick) {
			w.advance()
			w.publish()
			requireRecordsFit(t, w, w.stepDecision(noDelay))
		}
	}
	run(10 * time.Second)
	require.Equal(t, 120, w.openGroups("small"))
	w.loseZone()
	run(10 * time.Second)
	require.Equal(t, 120, w.openGroups("small"))
	require.Empty(t, w.servers.Violations)
	require.Len(t, w.records, 120)
}

// Guards against a controller that is lost between two parts of large records: the
// next one must form the missing groups, and only these.
func TestRecordsWrittenInPartCanBeTakenOver(t *testing.T) {
	for steps := 1; steps <= 5; steps++ {
		w := newLargeSimulation()
		w.run(10*time.Second, noDelay)
		w.loseZone()
		w.run(time.Duration(steps)*tick, noDelay)
		w.newController()
		w.run(10*time.Second, noDelay)
		require.Equal(t, 120, w.openGroups("small"), steps)
		require.Empty(t, w.servers.Violations, steps)
		require.Len(t, w.records, 120, steps)
	}
}

// Guards against records that are few but too large for one transaction: groups of
// many members with long IDs.
func TestRecordsOfLargeGroupsFitIntoOneTransaction(t *testing.T) {
	const size, groups = 100, 60
	engine := &routes.Engine{Slots: 4, Models: []routes.Model{{Name: "huge", GroupSize: size, InitialShare: 1}}}
	view := &registry.View{Version: 1, Servers: map[string]*registry.Server{}}
	for i := range groups * size * 5 / 4 {
		id := fmt.Sprintf("%s-%d", strings.Repeat("s", 180), i)
		view.Servers[id] = &registry.Server{
			ID: id, StartTime: 1, Service: service, Zone: zone, Domain: fmt.Sprint(i / 1000), Staged: []string{"huge"},
		}
	}
	c := formation.NewController(zone, []string{zone}, 1, brokenAfter, nil)
	planned, decisions := 0, 0
	for now := time.Unix(1000, 0); planned < groups; now = now.Add(tick) {
		d := c.Step(now, view, service, engine, func(string) formation.ProbeResult { return formation.ProbeResult{} })
		require.NotEmpty(t, d.NewGroups)
		tx := 0
		for _, g := range d.NewGroups {
			tx += base64.StdEncoding.EncodedLen(len(formation.EncodeGroup(g)))
			c.HandleRecorded(g.ID, now)
		}
		require.Less(t, tx, store.MaxTransactionBytes*9/10, "the rest is for keys and the lease")
		planned += len(d.NewGroups)
		decisions++
	}
	require.Greater(t, decisions, 1)
}
