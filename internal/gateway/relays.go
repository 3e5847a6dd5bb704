package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hibiscuspulley/hibiscuspulley/internal/event"
	"github.com/hibiscuspulley/hibiscuspulley/internal/peer"
	"github.com/hibiscuspulley/hibiscuspulley/internal/quota"
	"github.com/hibiscuspulley/hibiscuspulley/internal/relay"
	"github.com/hibiscuspulley/hibiscuspulley/internal/store"
)

const (
	// syncInterval is the time between two syncs with the relay in use, and
	// standbySyncInterval with the other one.
	syncInterval        = 100 * time.Millisecond
	standbySyncInterval = 400 * time.Millisecond
	// maxRelayAge is the age of the operators' rows from which a relay counts as cut
	// off from the store. A relay's rows are at most a feed call of
	// operatorPollWait old.
	maxRelayAge = 1500 * time.Millisecond
	// relayTimeout is how long no relay may have had recent rows before this entry
	// follows the store itself. An entry must have recent rows to be ready.
	relayTimeout = time.Second
	// firstRosterTimeout is how long after its start an entry that knows no other
	// entries waits for their rows before it follows the store itself.
	firstRosterTimeout = time.Second
	// probeInterval is the mean time between two calls of an entry to a store that
	// neither it nor its relays reach. Each call is billed.
	probeInterval = 3 * time.Second
	// sessionsInterval is the time between two reports of the sessions to renew.
	sessionsInterval = 500 * time.Millisecond
	// askerTTL is how long after its last sync an entry counts as one that this
	// entry relays for.
	askerTTL = 2 * time.Second
)

// relays gets the rows of the followed tables from this entry's relays, and passes
// them on to the entries that ask for them.
type relays struct {
	gateway   *Gateway
	startedAt time.Time

	// mu guards the fields below.
	mu sync.Mutex
	// known is set once the live entries are known, and role is chosen from them.
	known bool
	role  relay.Role
	live  []relay.Entry
	// roster is the fingerprint of live.
	roster uint64
	// links holds the relays of this entry, by address. It is nil after closeAll.
	links map[string]*relayLink
	// freshAt is when a relay last sent recent rows, or when the live entries became
	// known.
	freshAt time.Time
	// nextProbe is when the store is called next while it responds to nobody.
	nextProbe time.Time
	// askers holds the entries that this entry relays for, by name.
	askers map[string]asker
}

// relayLink is the connection to one relay.
type relayLink struct {
	entry    relay.Entry
	link     *peer.Link
	lastSync time.Time
	// sessionsAt is when the sessions were last sent.
	sessionsAt time.Time
	// freshAt is when the relay last sent recent rows.
	freshAt time.Time
	// allLimitsAt is when all limits were last exchanged.
	allLimitsAt time.Time
	pending     bool
}

// asker is an entry that gets the store's rows from this one.
type asker struct {
	// sessions are the entry's row and those of the entries that it relays for.
	sessions [][]byte
	at       time.Time
}

func newRelays(g *Gateway) *relays {
	return &relays{
		gateway: g, startedAt: g.bootClock(), links: make(map[string]*relayLink), askers: make(map[string]asker),
	}
}

func (rs *relays) run(ctx context.Context) {
	ticker := time.NewTicker(syncInterval)
	defer ticker.Stop()
	defer rs.closeAll()
	readsStore := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			rs.syncAll(ctx)
			if reads := rs.readsStore(); reads != readsStore {
				readsStore = reads
				event.RowSourceChanged.Log(rs.gateway.logger, logrus.Fields{"reads-store": reads, "relays": rs.upstreamNames()})
			}
		}
	}
}

func (rs *relays) upstreamNames() []string {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	var names []string
	for _, e := range rs.role.Upstreams {
		names = append(names, e.Name)
	}
	return names
}

// setLive replaces the list of live entries, and opens and closes links to match
// this entry's relays.
func (rs *relays) setLive(live []relay.Entry) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if !rs.known {
		rs.known, rs.freshAt = true, rs.gateway.bootClock()
	}
	rs.live, rs.roster = live, relay.Fingerprint(live)
	rs.role = relay.Choose(rs.gateway.settings.Name, live)
	wanted := make(map[string]relay.Entry)
	for _, e := range rs.role.Upstreams {
		wanted[e.Address] = e
	}
	for address, l := range rs.links {
		if _, found := wanted[address]; !found {
			delete(rs.links, address)
			rs.gateway.spawn(l.link.Close)
		}
	}
	for address, e := range wanted {
		if rs.links != nil && rs.links[address] == nil {
			rs.links[address] = &relayLink{entry: e, link: rs.gateway.peers.dial(address)}
		}
	}
}

// hubs returns the hubs of all zones and whether this entry is one of them.
func (rs *relays) hubs() ([]relay.Entry, bool) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return rs.role.Hubs, rs.role.Hub
}

// follows reports whether this entry gets its rows from a relay. The caller holds
// rs.mu.
func (rs *relays) follows(now time.Time) bool {
	if !rs.known {
		return now.Sub(rs.startedAt) < firstRosterTimeout
	}
	return !rs.role.Direct && now.Sub(rs.freshAt) < relayTimeout
}

// readsStore reports whether this entry follows the store itself: as its role, or
// because its relays have no recent rows and the store responds to it.
func (rs *relays) readsStore() bool {
	now := rs.gateway.bootClock()
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if rs.follows(now) {
		return false
	}
	return rs.role.Direct || !rs.known || rs.confirmedAge(now) < maxRelayAge
}

// mayProbe reports whether this entry may read the operators' rows from the store. If
// neither its relays nor the store respond, it does so only now and then.
func (rs *relays) mayProbe() bool {
	if rs.readsStore() {
		return true
	}
	now := rs.gateway.bootClock()
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if rs.follows(now) || now.Before(rs.nextProbe) {
		return false
	}
	rs.nextProbe = now.Add(time.Duration((0.5 + rand.Float64()) * float64(probeInterval)))
	return true
}

// mayControl reports whether this entry may run the controller of its zone: as a
// relay, or while its zone's relays are out of reach.
func (rs *relays) mayControl() bool {
	_, hub := rs.hubs()
	return hub || rs.readsStore()
}

// confirmedAge returns the age of the operators' rows.
func (rs *relays) confirmedAge(now time.Time) time.Duration {
	return now.Sub(rs.gateway.table(rs.gateway.platform.OperatorTable).cache.AsOf())
}

// syncAll starts the syncs that are due.
func (rs *relays) syncAll(ctx context.Context) {
	now := rs.gateway.bootClock()
	lead := ""
	if rs.gateway.limits.book.Limited() > 0 {
		lead, _ = rs.gateway.limits.lead(time.Now())
	}
	rs.mu.Lock()
	var due []*relayLink
	active := rs.activeLink(now)
	for _, l := range rs.links {
		interval := standbySyncInterval
		if l == active || l.entry.Name == lead {
			interval = syncInterval / 2 // every tick
		}
		if !l.pending && l.link.Connected() && now.Sub(l.lastSync) >= interval {
			l.pending, l.lastSync = true, now
			due = append(due, l)
		}
	}
	rs.mu.Unlock()
	for _, l := range due {
		rs.gateway.spawn(func() { rs.sync(ctx, l, l == active) })
	}
}

// activeLink returns the link to the relay in use: the preferred one that has recent
// rows, or else the preferred one that is connected. It returns nil if none is
// connected. The caller holds rs.mu.
func (rs *relays) activeLink(now time.Time) *relayLink {
	var connected *relayLink
	for _, e := range rs.role.Upstreams {
		l := rs.links[e.Address]
		if l == nil || !l.link.Connected() {
			continue
		}
		if now.Sub(l.freshAt) < relayTimeout {
			return l
		}
		if connected == nil {
			connected = l
		}
	}
	return connected
}

// sync asks a relay for what has changed and applies its reply.
func (rs *relays) sync(ctx context.Context, l *relayLink, active bool) {
	g := rs.gateway
	sentAt, askedAt := g.bootClock(), time.Now()
	request := &peer.Sync{
		Entry: g.settings.Name, Versions: make(map[string]int64), Roster: rs.fingerprint(),
		Parts: g.isolation.tracker.Report(time.Now()),
	}
	// A hub exchanges its loads and limits with the other hubs.
	if _, hub := rs.hubs(); !hub {
		request.Quota = rs.quotaMessage(time.Now(), l, active)
		if active {
			request.WantLoads, request.Loads = true, g.peers.subtreeLoads()
			request.Demand = g.demands.subtree(time.Now())
		}
	}
	if active && sentAt.Sub(l.sessionsAt) >= sessionsInterval {
		l.sessionsAt = sentAt
		request.Sessions = append(rs.sessionsToRenew(), g.members.encodedSession())
	}
	for _, t := range g.tables {
		request.Versions[t.name] = t.cache.Version()
	}
	reply, err := l.link.Call(ctx, peer.Request{Sync: request})
	// After a failure the link redials. Its connection handler logs the lost
	// connection.
	fresh := false
	if err == nil && reply.Sync != nil {
		fresh = rs.apply(reply.Sync, sentAt, request.WantLoads)
		g.limits.merge(askedAt, reply.Sync.Quota.Statements, l.entry.Name)
		g.limits.accept(time.Now(), l.entry.Name, reply.Sync.Quota)
	}
	now := g.bootClock()
	rs.mu.Lock()
	defer rs.mu.Unlock()
	l.pending = false
	if fresh {
		l.freshAt, rs.freshAt = now, now
	}
}

// quotaMessage returns what to tell a relay about limits: the limits to the one in use,
// and demands to the one that allocates.
func (rs *relays) quotaMessage(now time.Time, l *relayLink, active bool) quota.Message {
	m := quota.Message{Demands: rs.gateway.limits.demands(now, l.entry.Name, l.entry.Zone)}
	if active {
		rs.mu.Lock()
		m.WantAll = now.Sub(l.allLimitsAt) >= allLimitsInterval
		if m.WantAll {
			l.allLimitsAt = now
		}
		rs.mu.Unlock()
		m.Statements = rs.gateway.limits.book.Report(now, m.WantAll)
	}
	return m
}

// firstConnected returns the first of the entries to which this entry has a relay link
// that is up, or "".
func (rs *relays) firstConnected(entries []relay.Entry) string {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	for _, e := range entries {
		if l := rs.links[e.Address]; l != nil && l.link.Connected() {
			return e.Name
		}
	}
	return ""
}

// linkTo returns the link to a relay of this entry if it is connected, or nil.
func (rs *relays) linkTo(name string) *peer.Link {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	for _, l := range rs.links {
		if l.entry.Name == name && l.link.Connected() {
			return l.link
		}
	}
	return nil
}

// apply applies a relay's reply and reports whether its rows are recent. The relay
// computed the ages after sentAt, so a table includes every change before sentAt less
// its age.
func (rs *relays) apply(r *peer.SyncReply, sentAt time.Time, withLoads bool) bool {
	g := rs.gateway
	now := g.bootClock()
	recent, found := true, 0
	for _, u := range r.Tables {
		t := g.table(u.Table)
		if t == nil {
			continue
		}
		found++
		update := store.Update{Full: u.Full, AsOf: sentAt.Add(-u.Age), Version: u.Version}
		for _, row := range u.Rows {
			update.Rows = append(update.Rows, store.Row{
				RowKey: store.RowKey{Table: u.Table, Key: row.Key}, Value: row.Value, Version: row.Version, Deleted: row.Deleted,
			})
		}
		if u.Table == g.platform.OperatorTable && now.Sub(update.AsOf) > maxRelayAge {
			recent = false
		}
		t.apply(now, update)
	}
	g.isolation.tracker.Merge(time.Now(), r.Parts)
	if withLoads {
		g.peers.storeLoads(relayedLoads, r.Loads)
		g.demands.hearRelay(time.Now(), r.Entry, r.Demand)
		g.peers.apply()
	}
	if len(r.Roster) > 0 {
		live := make([]relay.Entry, 0, len(r.Roster))
		for _, e := range r.Roster {
			live = append(live, relay.Entry{Name: e.Name, Zone: e.Zone, Address: e.Address, Strength: e.Strength})
		}
		g.members.applyLive(live)
	}
	return recent && found == len(g.tables)
}

func (rs *relays) fingerprint() uint64 {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return rs.roster
}

// handle replies to an entry that asks for what has changed.
func (rs *relays) handle(r *peer.Sync) *peer.SyncReply {
	g := rs.gateway
	now := g.bootClock()
	rs.mu.Lock()
	a := rs.askers[r.Entry]
	a.at = now
	if len(r.Sessions) > 0 {
		a.sessions = r.Sessions
	}
	rs.askers[r.Entry] = a
	live, roster := rs.live, rs.roster
	rs.mu.Unlock()
	reply := &peer.SyncReply{Entry: g.settings.Name}
	g.isolation.tracker.Forward(time.Now(), r.Parts)
	reply.Parts = g.isolation.tracker.Report(time.Now())
	g.limits.merge(time.Now(), r.Quota.Statements, r.Entry)
	reply.Quota = g.limits.respond(time.Now(), r.Entry, g.settings.Zone, r.Quota)
	if r.WantLoads {
		g.peers.storeAskerLoads(r.Entry, r.Loads)
		g.demands.hearAsker(time.Now(), r.Entry, r.Demand)
		reply.Loads = g.peers.loadsWithout(r.Entry)
		reply.Demand = g.demands.without(time.Now(), r.Entry)
	}
	for _, t := range g.tables {
		version, asked := r.Versions[t.name]
		update, known := t.cache.Since(version)
		if !asked || !known {
			continue
		}
		u := peer.TableUpdate{Table: t.name, Version: update.Version, Full: update.Full, Age: g.bootClock().Sub(update.AsOf)}
		for _, row := range update.Rows {
			u.Rows = append(u.Rows, peer.TableRow{Key: row.Key, Value: row.Value, Version: row.Version, Deleted: row.Deleted})
		}
		reply.Tables = append(reply.Tables, u)
	}
	if len(live) > 0 && roster != r.Roster {
		for _, e := range live {
			reply.Roster = append(reply.Roster, peer.RosterEntry{Name: e.Name, Zone: e.Zone, Address: e.Address, Strength: e.Strength})
		}
	}
	return reply
}

// sessionsToRenew returns the encoded sessions of the entries that this one relays
// for, and forgets those that have stopped asking.
func (rs *relays) sessionsToRenew() [][]byte {
	now := rs.gateway.bootClock()
	rs.mu.Lock()
	defer rs.mu.Unlock()
	var sessions [][]byte
	for name, a := range rs.askers {
		if now.Sub(a.at) > askerTTL {
			delete(rs.askers, name)
			continue
		}
		sessions = append(sessions, a.sessions...)
	}
	return sessions
}

func (rs *relays) closeAll() {
	rs.mu.Lock()
	links := rs.links
	rs.links = nil
	rs.mu.Unlock()
	for _, l := range links {
		l.link.Close()
	}
}
