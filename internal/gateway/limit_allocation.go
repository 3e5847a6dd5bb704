package gateway

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hibiscuspulley/hibiscuspulley/internal/dispatch"
	"github.com/hibiscuspulley/hibiscuspulley/internal/event"
	"github.com/hibiscuspulley/hibiscuspulley/internal/quota"
	"github.com/hibiscuspulley/hibiscuspulley/internal/registry"
	"github.com/hibiscuspulley/hibiscuspulley/internal/relay"
	"github.com/hibiscuspulley/hibiscuspulley/internal/routing"
)

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
		owned := l.owned(servers, share)
		grants := l.allocator.Grant(now, quota.Asker{Name: name}, l.demand(now, pool, servers, true), owned)
		l.holder.Add(now, grants)
		l.storeBacklogs(now, []quota.Backlog{l.backlog(now, pool, owned)})
		granted = granted || len(grants) > 0
	}
	if granted {
		l.gateway.queues.Dispatch()
	}
}

// respond returns the reply to what another entry tells and asks.
func (l *limits) respond(now time.Time, name, zone string, m quota.Message) quota.Message {
	reply := quota.Message{
		Statements: l.book.Report(now, m.WantAll), Grants: l.grant(now, name, zone, m.Demands),
		Demands: l.demands(now, name, zone),
	}
	if _, share := l.lead(now); share > 0 && zone == l.gateway.settings.Zone {
		pools := l.pools(now)
		for _, d := range m.Demands {
			reply.Backlogs = append(reply.Backlogs, l.backlog(now, d.Pool, l.owned(pools[d.Pool], share)))
		}
	}
	return reply
}

// backlog returns how long the requests of the pool that wait in the zone wait for
// grants for the servers.
func (l *limits) backlog(now time.Time, pool quota.Pool, servers []quota.Server) quota.Backlog {
	rate := 0.0
	for _, s := range servers {
		rate += s.Rate
	}
	b := quota.Backlog{Pool: pool}
	if rate > 0 {
		b.Wait = time.Duration(float64(l.allocator.Waiting(now, pool)) / rate * float64(time.Second))
	}
	return b
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
