package gateway

import (
	"context"
	"expvar"
	"math"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hibiscuspulley/hibiscuspulley/internal/dispatch"
	"github.com/hibiscuspulley/hibiscuspulley/internal/event"
	"github.com/hibiscuspulley/hibiscuspulley/internal/peer"
	"github.com/hibiscuspulley/hibiscuspulley/internal/quota"
	"github.com/hibiscuspulley/hibiscuspulley/internal/registry"
	"github.com/hibiscuspulley/hibiscuspulley/internal/relay"
	"github.com/hibiscuspulley/hibiscuspulley/internal/routing"
)

const (
	// invalidLimitInterval is the minimum time between two log lines about invalid
	// limits of the same server.
	invalidLimitInterval = 10 * time.Second
	// hubSilence is how long a hub must not have been heard of before the next one in
	// rank allocates instead. Hubs of a zone exchange every 60 ms.
	hubSilence = time.Second
	// standInShare is the share of the limits that an entry allocates instead of a
	// silent one. If the other one only can't be reached, they allocate 1.5 times the
	// limits together, which servers bear for a while.
	standInShare = 0.5
	// demandPeriod is the time for which requests that are likely to arrive are asked
	// for in advance: until the entry asks again and has the reply.
	demandPeriod = 200 * time.Millisecond
	// askTimeout is how long a request that has just arrived waits for a grant. A round
	// trip within a zone takes a few milliseconds.
	askTimeout = 30 * time.Millisecond
	// limitedServersTTL is how long the list of servers with limits is used again.
	limitedServersTTL = 40 * time.Millisecond
	// allLimitsInterval is the time between two exchanges of all limits with the same
	// entry. Changes are sent at once.
	allLimitsInterval = time.Second
)

// limits keeps the requests to servers within the limits that they name in their
// responses. One hub of each zone allocates the limits of the zone's servers.
type limits struct {
	gateway   *Gateway
	book      *quota.Book
	holder    *quota.Holder
	allocator *quota.Allocator

	mu sync.Mutex
	// invalidAt is when an invalid limit of a server was last logged.
	invalidAt map[string]time.Time
	// heardAt is when each hub of the zone was last heard of, or first listed.
	heardAt map[string]time.Time
	// share is the share of the limits that this entry last allocated.
	share float64
	// limited caches the servers with limits, as of limitedAt.
	limited   []dispatch.LimitedServer
	limitedAt time.Time
}

func newLimits(g *Gateway) *limits {
	book := quota.NewBook()
	return &limits{
		gateway: g, book: book, holder: quota.NewHolder(book, g.entries), allocator: quota.NewAllocator(),
		invalidAt: make(map[string]time.Time), heardAt: make(map[string]time.Time),
	}
}

// publish adds the number of servers that name a limit to the metrics.
func (l *limits) publish(vars *expvar.Map) {
	vars.Set("limited-servers", expvar.Func(func() any { return l.book.Limited() }))
}

// observe takes over what a server's response says about its limit. A misdirected
// request may have been answered by another server. The lack of a limit counts only
// in signed responses, because rejections may be made without the server's state.
func (l *limits) observe(now time.Time, server *registry.Server, status int, info ResponseInfo) {
	switch {
	case status == http.StatusMisdirectedRequest:
		return
	case info.InvalidLimit != nil:
		l.logInvalid(now, server, info.InvalidLimit)
		return
	case info.Limit == 0 && !info.Signed:
		return
	}
	if change, changed := l.book.Observe(now, server.Incarnation(), info.Limit); changed {
		l.apply([]quota.Change{change}, "response")
	}
}

// merge takes over the limits that another entry reports.
func (l *limits) merge(now time.Time, reported []quota.Limit, from string) {
	if changes := l.book.Merge(now, reported); len(changes) > 0 {
		l.apply(changes, from)
	}
}

// apply logs changed limits. Requests may wait for a server whose limit is gone.
func (l *limits) apply(changes []quota.Change, source string) {
	for _, c := range changes {
		event.LimitChanged.Log(l.gateway.logger, logrus.Fields{
			"server": c.Server.ID, "born": c.Server.StartTime, "limit": c.Rate, "previous": c.Previous, "source": source,
		})
	}
	l.mu.Lock()
	l.limitedAt = time.Time{}
	l.mu.Unlock()
	l.gateway.queues.Dispatch()
}

func (l *limits) logInvalid(now time.Time, server *registry.Server, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if last, found := l.invalidAt[server.ID]; found && now.Sub(last) < invalidLimitInterval {
		return
	}
	for id, at := range l.invalidAt {
		if now.Sub(at) >= invalidLimitInterval {
			delete(l.invalidAt, id)
		}
	}
	l.invalidAt[server.ID] = now
	event.LimitInvalid.Log(l.gateway.logger, logrus.Fields{"server": server.ID, "born": server.StartTime, "error": err})
}

// forgetUnlisted forgets the limits of servers that are gone.
func (l *limits) forgetUnlisted(now time.Time, v *registry.View) {
	l.book.Retain(now, func(inc registry.Incarnation) bool {
		s := v.Servers[inc.ID]
		return s != nil && s.StartTime == inc.StartTime
	})
	l.allocator.Retain(now, func(inc registry.Incarnation) bool { return l.book.Rate(inc) > 0 })
}

// heard records that a hub was heard of.
func (l *limits) heard(now time.Time, hub string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, listed := l.heardAt[hub]; listed {
		l.heardAt[hub] = now
	}
}

// lead returns the entry that allocates the limits of the zone's servers: the zone's
// first hub in rank that is not silent. If that is this entry, share is the share of
// the limits that it allocates, and otherwise 0. An entry that is no hub judges hubs by
// its links to them.
func (l *limits) lead(now time.Time) (name string, share float64) {
	own := l.gateway.settings.Name
	hubs, isHub := l.gateway.relays.hubs()
	ranked := relay.Rank(hubs, l.gateway.settings.Zone)
	if !isHub {
		return l.gateway.relays.firstConnected(ranked), 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.trackHubs(now, ranked)
	for i, hub := range ranked {
		switch {
		case hub.Name == own && i == 0:
			return own, 1
		case hub.Name == own:
			return own, standInShare
		case now.Sub(l.heardAt[hub.Name]) < hubSilence:
			return hub.Name, 0
		}
	}
	return "", 0
}

// trackHubs keeps heardAt for the hubs of the zone. The caller holds l.mu.
func (l *limits) trackHubs(now time.Time, hubs []relay.Entry) {
	listed := make(map[string]bool, len(hubs))
	for _, hub := range hubs {
		listed[hub.Name] = true
		if _, found := l.heardAt[hub.Name]; !found {
			l.heardAt[hub.Name] = now
		}
	}
	for name := range l.heardAt {
		if !listed[name] {
			delete(l.heardAt, name)
		}
	}
}

// pools returns the servers with limits, by pool.
func (l *limits) pools(now time.Time) map[quota.Pool][]dispatch.LimitedServer {
	if l.book.Limited() == 0 {
		return nil
	}
	l.mu.Lock()
	if now.Sub(l.limitedAt) >= limitedServersTTL {
		l.limited, l.limitedAt = l.gateway.balancer.LimitedServers(l.book), now
	}
	list := l.limited
	l.mu.Unlock()
	pools := make(map[quota.Pool][]dispatch.LimitedServer)
	for _, s := range list {
		pools[s.Pool] = append(pools[s.Pool], s)
	}
	return pools
}

// owned returns the servers whose limits the zone's lead allocates: those of its zone,
// and those of a zone without entries for which its zone stands in.
func (l *limits) owned(servers []dispatch.LimitedServer, share float64) []quota.Server {
	if share == 0 {
		return nil
	}
	hubs, _ := l.gateway.relays.hubs()
	hasHub := make(map[string]bool)
	var zones []string
	for _, hub := range hubs {
		if !hasHub[hub.Zone] {
			zones = append(zones, hub.Zone)
		}
		hasHub[hub.Zone] = true
	}
	own := l.gateway.settings.Zone
	var list []quota.Server
	for _, s := range servers {
		if s.Zone == own || (!hasHub[s.Zone] && routing.Rendezvous(s.Zone, zones)[0] == own) {
			list = append(list, quota.Server{Incarnation: s.Incarnation(), Rate: s.Rate * share})
		}
	}
	return list
}

// ask asks the zone's lead for a grant for a request that has just arrived, if the
// server that would serve it best has a limit. It waits at most askTimeout; then the
// request goes to another server or waits in the queue.
func (l *limits) ask(ctx context.Context, r dispatch.Requirements) {
	now := time.Now()
	if l.book.Limited() == 0 || !l.gateway.balancer.PrefersLimited(now, r, func(zone string) bool { return zone == l.gateway.settings.Zone }) {
		return
	}
	lead, share := l.lead(now)
	demand := quota.Demand{Pool: quota.Pool{Service: r.Service, Model: r.Model}, Expected: 1}
	if share > 0 {
		l.holder.Add(now, l.allocator.Grant(now, quota.Asker{Name: lead}, demand, l.owned(l.pools(now)[demand.Pool], share)))
		return
	}
	link := l.linkTo(lead)
	if link == nil {
		return
	}
	replied := make(chan struct{})
	l.gateway.spawn(func() {
		defer close(replied)
		// A call whose context ends closes the link, so it has the link's own timeout.
		reply, err := link.Call(context.Background(), peer.Request{Sync: &peer.Sync{
			Entry: l.gateway.settings.Name, Roster: l.gateway.relays.fingerprint(),
			Quota: quota.Message{Demands: []quota.Demand{demand}},
		}})
		// The link logs a lost connection.
		if err == nil && reply.Sync != nil {
			l.accept(time.Now(), lead, reply.Sync.Quota.Grants)
		}
	})
	timer := time.NewTimer(askTimeout)
	defer timer.Stop()
	select {
	case <-replied:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// linkTo returns the link to a hub of the zone on which this entry can ask at any time,
// or nil.
func (l *limits) linkTo(hub string) *peer.Link {
	if link := l.gateway.relays.linkTo(hub); link != nil {
		return link
	}
	return l.gateway.peers.linkTo(hub)
}

// demand returns what this entry's requests of the pool need beyond its grants. It asks
// in advance only if it can't ask when a request arrives.
func (l *limits) demand(now time.Time, pool quota.Pool, servers []dispatch.LimitedServer, canAsk bool) quota.Demand {
	queue := l.gateway.queues.Queue(pool.Service, pool.Model)
	held := 0
	for _, s := range servers {
		held += l.holder.Held(now, s.Incarnation())
	}
	waiting, expected := queue.Length(), 0
	if !canAsk {
		expected = int(math.Ceil(float64(queue.Dispatched()) * demandPeriod.Seconds()))
	}
	return quota.Demand{
		Pool: pool, Waiting: max(waiting-held, 0), Expected: max(expected-max(held-waiting, 0), 0),
	}
}

// allocate grants this entry its part if it is the zone's lead.
func (l *limits) allocate(now time.Time) {
	pools := l.pools(now)
	if len(pools) == 0 {
		return
	}
	name, share := l.lead(now)
	l.mu.Lock()
	changed := l.share != share
	l.share = share
	l.mu.Unlock()
	if changed {
		event.LimitsAllocated.Log(l.gateway.logger, logrus.Fields{"lead": name, "share": share})
	}
	if share == 0 {
		return
	}
	l.holder.Contact(now)
	granted := false
	for pool, servers := range pools {
		grants := l.allocator.Grant(now, quota.Asker{Name: name}, l.demand(now, pool, servers, true), l.owned(servers, share))
		l.holder.Add(now, grants)
		granted = granted || len(grants) > 0
	}
	if granted {
		l.gateway.queues.Dispatch()
	}
}

// demands returns what to ask another entry for: the zone's lead for what this entry
// and those that ask it need, and the leads of other zones, if this entry is the lead,
// for what waits in the zone.
func (l *limits) demands(now time.Time, name, zone string) []quota.Demand {
	pools := l.pools(now)
	if len(pools) == 0 {
		return nil
	}
	lead, share := l.lead(now)
	var list []quota.Demand
	for pool, servers := range pools {
		var d quota.Demand
		switch {
		case name == lead:
			d = l.demand(now, pool, servers, l.linkTo(name) != nil)
			d.Waiting += l.allocator.Waiting(now, pool)
		case share > 0 && zone != l.gateway.settings.Zone:
			d = quota.Demand{Pool: pool, Waiting: l.allocator.Waiting(now, pool)}
		}
		if d.Waiting+d.Expected > 0 {
			list = append(list, d)
		}
	}
	return list
}

// grant returns grants for the demands of another entry. An entry of the own zone also
// gets what this entry holds of others' grants.
func (l *limits) grant(now time.Time, name, zone string, demands []quota.Demand) []quota.Grant {
	if len(demands) == 0 {
		return nil
	}
	asker := quota.Asker{Name: name, Remote: zone != l.gateway.settings.Zone}
	pools := l.pools(now)
	_, share := l.lead(now)
	var list []quota.Grant
	for _, d := range demands {
		owned := l.owned(pools[d.Pool], share)
		grants := l.allocator.Grant(now, asker, d, owned)
		if !asker.Remote {
			handed := l.holder.HandOver(now, others(pools[d.Pool], owned), d.Waiting-requestsOf(grants))
			l.allocator.HandedOver(now, d.Pool, name, requestsOf(handed))
			grants = append(grants, handed...)
		}
		list = append(list, grants...)
	}
	l.gateway.metrics.limitGrants.Add(int64(requestsOf(list)))
	return list
}

func requestsOf(grants []quota.Grant) int {
	n := 0
	for _, g := range grants {
		n += g.Requests
	}
	return n
}

// others returns the servers of a pool that are not owned.
func others(servers []dispatch.LimitedServer, owned []quota.Server) []registry.Incarnation {
	isOwned := make(map[registry.Incarnation]bool, len(owned))
	for _, s := range owned {
		isOwned[s.Incarnation] = true
	}
	var list []registry.Incarnation
	for _, s := range servers {
		if !isOwned[s.Incarnation()] {
			list = append(list, s.Incarnation())
		}
	}
	return list
}

// accept takes over grants, and records the contact if they come from the zone's lead.
func (l *limits) accept(now time.Time, from string, grants []quota.Grant) {
	if l.book.Limited() == 0 {
		return
	}
	if name, _ := l.lead(now); name == from {
		l.holder.Contact(now)
	}
	if len(grants) > 0 {
		l.holder.Add(now, grants)
		l.gateway.queues.Dispatch()
	}
}
