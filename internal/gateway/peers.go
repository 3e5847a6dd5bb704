package gateway

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hibiscuspulley/hibiscuspulley/internal/dispatch"
	"github.com/hibiscuspulley/hibiscuspulley/internal/event"
	"github.com/hibiscuspulley/hibiscuspulley/internal/peer"
	"github.com/hibiscuspulley/hibiscuspulley/internal/quota"
	"github.com/hibiscuspulley/hibiscuspulley/internal/registry"
	"github.com/hibiscuspulley/hibiscuspulley/internal/relay"
)

const (
	// exchangeInterval is the time between two exchanges with an entry of the
	// same zone. An entry begins to serve about one request in that time.
	exchangeInterval = 60 * time.Millisecond
	// crossZoneExchangeInterval is longer because traffic between zones is
	// expensive.
	crossZoneExchangeInterval = 300 * time.Millisecond
	exchangePath              = "/exchange"
	// shareInterval is the time between two updates of this entry's part of the zone's
	// requests.
	shareInterval = 500 * time.Millisecond
	// peerLoadTTL is how long the loads of an unresponsive peer are still
	// counted.
	peerLoadTTL = 2 * time.Second
)

// relayedLoads is the name under which the loads are kept that a relay reports for
// all other entries together.
const relayedLoads = ""

// peers exchanges the numbers of in-flight requests, by server, and what is known
// about prompt parts that crash servers with the other hubs. In each pair of hubs, the
// one whose name sorts first sends the exchange request, and the reply carries the other
// hub's loads. A relay reports the loads of the entries that it relays for as its own.
type peers struct {
	gateway *Gateway
	server  *peer.Server
	// sharesAt is when the balancer was last told this entry's part of the requests.
	// Only run uses it.
	sharesAt time.Time

	// mu guards the maps and the peerEntry fields lastExchange and pending.
	mu sync.Mutex
	// links holds the peers that this entry sends exchange requests to, by
	// address. It is nil after closeAll.
	links map[string]*peerEntry
	// loads holds the last loads of each hub, by its name, or under relayedLoads
	// those that a relay reported. askerLoads holds those of the entries that this
	// one relays for.
	loads      map[string]peerLoads
	askerLoads map[string]peerLoads
	// sums holds the loads of all other entries together.
	sums map[registry.Incarnation]loadSum
}

// loadSum is the load of several entries on a server.
type loadSum struct {
	inFlight int
	// stalled counts the entries that report the server as stalled, and progress
	// those whose streams from it advance.
	stalled, progress int
	// progressAt is when the latest of the reports of progress was received.
	progressAt time.Time
}

func (s *loadSum) add(l peer.Load, sign int) {
	s.inFlight += sign * l.InFlight
	if l.Stalled {
		s.stalled += sign
	}
	if hasProgress(l) {
		s.progress += sign
	}
}

// hasProgress reports whether streams of an entry from the server advance.
func hasProgress(l peer.Load) bool { return l.Progress || (l.InFlight > 0 && !l.Stalled) }

func (s *loadSum) load(inc registry.Incarnation) peer.Load {
	return peer.Load{
		Server: inc.ID, StartTime: inc.StartTime, InFlight: s.inFlight, Stalled: s.stalled > 0, Progress: s.progress > 0,
	}
}

// peerEntry is an entry to which this one sends exchange requests.
type peerEntry struct {
	name         string
	zone         string
	link         *peer.Link
	lastExchange time.Time
	// allLimitsAt is when all limits were last exchanged.
	allLimitsAt time.Time
	// grants answers the peer's last demands, as of grantedAt. They go with the next
	// exchange.
	grants    []quota.Grant
	grantedAt time.Time
	// pending is set while an exchange request is in flight.
	pending bool
}

// peerLoads holds the loads of one peer and when they were received.
type peerLoads struct {
	loads []peer.Load
	at    time.Time
}

func newPeers(g *Gateway) *peers {
	ps := &peers{
		gateway: g, links: make(map[string]*peerEntry), loads: make(map[string]peerLoads), askerLoads: make(map[string]peerLoads),
	}
	ps.server = peer.NewServer(g.settings.PeerKey, ps.handle, func(address string) {
		event.PeerRejected.Log(g.logger, logrus.Fields{"address": address})
	})
	return ps
}

func (ps *peers) run(ctx context.Context) {
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()
	defer ps.closeAll()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			ps.exchange(ctx)
		}
	}
}

// update opens and closes links to match the hubs. Only hubs whose names sort after
// this entry's name get a link, and only if it is a hub itself.
func (ps *peers) update() {
	wanted := make(map[string]relay.Entry)
	if hubs, own := ps.gateway.relays.hubs(); own {
		for _, e := range hubs {
			if strings.Compare(ps.gateway.settings.Name, e.Name) < 0 {
				wanted[e.Address] = e
			}
		}
	}
	ps.mu.Lock()
	defer ps.mu.Unlock()
	for address, p := range ps.links {
		if _, found := wanted[address]; !found {
			delete(ps.links, address)
			ps.gateway.spawn(p.link.Close)
		}
	}
	for address, e := range wanted {
		if ps.links[address] == nil && ps.links != nil {
			ps.links[address] = &peerEntry{name: e.Name, zone: e.Zone, link: ps.dial(address)}
		}
	}
}

func (ps *peers) dial(address string) *peer.Link {
	return peer.NewLink("ws://"+address+exchangePath, ps.gateway.settings.PeerKey,
		peer.WithHTTPClient(&http.Client{Transport: &http.Transport{DialContext: ps.gateway.dial, MaxResponseHeaderBytes: smallHeaderBytes}}),
		peer.WithConnectionHandler(func(connected bool) {
			if connected {
				event.PeerConnected.Log(ps.gateway.logger, logrus.Fields{"address": address})
				return
			}
			event.PeerLost.Log(ps.gateway.logger, logrus.Fields{"address": address})
		}))
}

// exchange starts the exchanges that are due and updates the balancer.
func (ps *peers) exchange(ctx context.Context) {
	now := time.Now()
	ps.mu.Lock()
	var due []*peerEntry
	for _, p := range ps.links {
		interval := exchangeInterval
		if p.zone != ps.gateway.settings.Zone {
			interval = crossZoneExchangeInterval
		}
		if !p.pending && p.link.Connected() && now.Sub(p.lastExchange) >= interval-exchangeInterval/2 {
			p.pending, p.lastExchange = true, now
			due = append(due, p)
		}
	}
	ps.mu.Unlock()
	for _, p := range due {
		ps.gateway.spawn(func() { ps.exchangeWith(ctx, p) })
	}
	ps.gateway.limits.allocate(now)
	if now.Sub(ps.sharesAt) >= shareInterval {
		ps.sharesAt = now
		ps.gateway.balancer.SetShares(ps.gateway.demands.shares(now))
	}
	ps.apply()
}

func (ps *peers) exchangeWith(ctx context.Context, p *peerEntry) {
	limits := ps.gateway.limits
	sentAt := time.Now()
	reply, err := p.link.Call(ctx, peer.Request{Exchange: &peer.Exchange{
		Entry: ps.gateway.settings.Name, Zone: ps.gateway.settings.Zone, Loads: ps.subtreeLoads(),
		Parts: ps.gateway.isolation.tracker.Report(sentAt), Quota: ps.quotaMessage(sentAt, p), Demand: ps.gateway.demands.subtree(sentAt),
	}})
	var grants []quota.Grant
	// After a failure the link redials. Its connection handler logs the lost
	// connection.
	if err == nil && reply.Exchange != nil {
		ps.storeLoads(reply.Exchange.Entry, reply.Exchange.Loads)
		now := time.Now()
		ps.gateway.isolation.tracker.Forward(now, reply.Exchange.Parts)
		ps.gateway.demands.hearHub(now, p.name, p.zone, reply.Exchange.Demand)
		limits.heard(now, p.name)
		limits.merge(sentAt, reply.Exchange.Quota.Statements, p.name)
		limits.accept(now, p.name, reply.Exchange.Quota)
		grants = limits.grant(now, p.name, p.zone, reply.Exchange.Quota.Demands)
	}
	ps.mu.Lock()
	defer ps.mu.Unlock()
	p.pending = false
	if len(grants) > 0 {
		p.grants, p.grantedAt = grants, time.Now()
		p.lastExchange = time.Time{} // the peer's requests wait for the grants
	}
}

// quotaMessage returns what to tell a peer about limits, with the grants for its last
// demands.
func (ps *peers) quotaMessage(now time.Time, p *peerEntry) quota.Message {
	ps.mu.Lock()
	all := now.Sub(p.allLimitsAt) >= allLimitsInterval
	if all {
		p.allLimitsAt = now
	}
	grants, grantedAt := p.grants, p.grantedAt
	p.grants = nil
	ps.mu.Unlock()
	for i := range grants {
		grants[i].ValidFor -= now.Sub(grantedAt)
	}
	l := ps.gateway.limits
	return quota.Message{WantAll: all, Statements: l.book.Report(now, all), Demands: l.demands(now, p.name, p.zone), Grants: grants}
}

// linkTo returns the link to a hub that this entry sends exchange requests to if it is
// connected, or nil.
func (ps *peers) linkTo(name string) *peer.Link {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	for _, p := range ps.links {
		if p.name == name && p.link.Connected() {
			return p.link
		}
	}
	return nil
}

// subtreeLoads returns the loads to send to a hub or to this entry's relay: for each
// server, the number of in-flight requests of this entry and of those that it relays
// for, and whether the server is stalled. Stalled servers are included even without
// requests in flight, and servers of all zones: a third zone would otherwise seem to have
// room that this one uses.
func (ps *peers) subtreeLoads() []peer.Load {
	sums := ps.localSums()
	now := time.Now()
	ps.mu.Lock()
	for _, reported := range ps.askerLoads {
		if now.Sub(reported.at) <= peerLoadTTL {
			addLoads(sums, reported.loads, 1)
		}
	}
	ps.mu.Unlock()
	loads := make([]peer.Load, 0, len(sums))
	for inc, sum := range sums {
		loads = append(loads, sum.load(inc))
	}
	return loads
}

// localSums returns the loads of this entry alone.
func (ps *peers) localSums() map[registry.Incarnation]loadSum {
	stalled := make(map[registry.Incarnation]bool)
	for _, inc := range ps.gateway.balancer.Stalled(time.Now()) {
		stalled[inc] = true
	}
	sums := make(map[registry.Incarnation]loadSum)
	counts := ps.gateway.balancer.InFlight()
	for inc := range stalled {
		if counts[inc] == 0 {
			sums[inc] = loadSum{stalled: 1}
		}
	}
	for inc, count := range counts {
		sum := loadSum{}
		sum.add(peer.Load{InFlight: count, Stalled: stalled[inc]}, 1)
		sums[inc] = sum
	}
	addAlive(sums, ps.gateway.balancer, time.Now())
	return sums
}

// addLoads adds loads to sums, or takes them off if sign is -1.
func addLoads(sums map[registry.Incarnation]loadSum, loads []peer.Load, sign int) {
	for _, l := range loads {
		inc := registry.Incarnation{ID: l.Server, StartTime: l.StartTime}
		sum := sums[inc]
		sum.add(l, sign)
		sums[inc] = sum
	}
}

// loadsWithout returns the loads of all entries, this one included, but for one that
// it relays for.
func (ps *peers) loadsWithout(entry string) []peer.Load {
	sums := ps.localSums()
	ps.mu.Lock()
	defer ps.mu.Unlock()
	for inc, other := range ps.sums {
		sum := sums[inc]
		sum.inFlight, sum.stalled, sum.progress = sum.inFlight+other.inFlight, sum.stalled+other.stalled, sum.progress+other.progress
		sums[inc] = sum
	}
	addLoads(sums, ps.askerLoads[entry].loads, -1)
	loads := make([]peer.Load, 0, len(sums))
	for inc, sum := range sums {
		if sum.inFlight > 0 || sum.stalled > 0 || sum.progress > 0 {
			loads = append(loads, sum.load(inc))
		}
	}
	return loads
}

// storeAskerLoads stores the loads of an entry that this one relays for.
func (ps *peers) storeAskerLoads(entry string, loads []peer.Load) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	if ps.sums != nil {
		addLoads(ps.sums, ps.askerLoads[entry].loads, -1)
		addLoads(ps.sums, loads, 1)
	}
	ps.askerLoads[entry] = peerLoads{loads: loads, at: time.Now()}
}

func (ps *peers) handle(_ context.Context, r peer.Request) peer.Reply {
	switch {
	case r.Sync != nil:
		return peer.Reply{Sync: ps.gateway.relays.handle(r.Sync)}
	case r.Exchange == nil:
		return peer.Reply{}
	}
	ps.storeLoads(r.Exchange.Entry, r.Exchange.Loads)
	now := time.Now()
	ps.gateway.isolation.tracker.Forward(now, r.Exchange.Parts)
	ps.gateway.demands.hearHub(now, r.Exchange.Entry, r.Exchange.Zone, r.Exchange.Demand)
	limits, name, zone := ps.gateway.limits, r.Exchange.Entry, r.Exchange.Zone
	limits.heard(now, name)
	limits.merge(now, r.Exchange.Quota.Statements, name)
	limits.accept(now, name, r.Exchange.Quota)
	ps.apply()
	return peer.Reply{Exchange: &peer.ExchangeReply{
		Entry: ps.gateway.settings.Name, Zone: ps.gateway.settings.Zone, Ready: ps.gateway.Ready(), Loads: ps.subtreeLoads(),
		Parts: ps.gateway.isolation.tracker.Report(now),
		Quota: limits.respond(now, name, zone, r.Exchange.Quota), Demand: ps.gateway.demands.subtree(now),
	}}
}

// hasProgress reports whether another entry has requests in flight on the server
// and does not report it as stalled. Such a server is alive even if neither this
// entry nor the store can reach it. Loads older than peerLoadTTL don't count. The
// server's incarnation is not compared.
func (ps *peers) hasProgress(server string) bool {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	now := time.Now()
	for _, reports := range []map[string]peerLoads{ps.loads, ps.askerLoads} {
		for _, reported := range reports {
			if now.Sub(reported.at) > peerLoadTTL {
				continue
			}
			for _, l := range reported.loads {
				if l.Server == server && hasProgress(l) {
					return true
				}
			}
		}
	}
	return false
}

func (ps *peers) storeLoads(entry string, loads []peer.Load) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.loads[entry] = peerLoads{loads: loads, at: time.Now()}
}

// apply passes the sums of the other entries' in-flight requests to the balancer and
// dispatches queued requests. It drops loads older than peerLoadTTL.
func (ps *peers) apply() {
	now := time.Now()
	sums := make(map[registry.Incarnation]loadSum)
	ps.mu.Lock()
	for _, reports := range []map[string]peerLoads{ps.loads, ps.askerLoads} {
		for entry, reported := range reports {
			if now.Sub(reported.at) > peerLoadTTL {
				delete(reports, entry)
				continue
			}
			addLoads(sums, reported.loads, 1)
			ps.noteProgress(sums, reported)
		}
	}
	ps.sums = sums
	loads := make(map[registry.Incarnation]dispatch.PeerLoad, len(sums))
	for inc, sum := range sums {
		loads[inc] = dispatch.PeerLoad{InFlight: sum.inFlight, Stalled: sum.stalled > 0, AliveAt: sum.aliveAt()}
	}
	ps.mu.Unlock()
	ps.gateway.balancer.SetReportDelay(ps.reportDelay())
	ps.gateway.balancer.SetPeerLoads(loads)
	ps.gateway.queues.Dispatch()
}

// reportDelay returns how old the loads of the other entries are on average if some of
// them go through relays, and otherwise 0. Each interval on their way adds half of itself,
// and so does the time until the next report.
func (ps *peers) reportDelay() time.Duration {
	if _, hub := ps.gateway.relays.hubs(); !hub {
		return 3*syncInterval/2 + exchangeInterval/2
	}
	ps.mu.Lock()
	defer ps.mu.Unlock()
	if len(ps.askerLoads) > 0 {
		return syncInterval + exchangeInterval/2
	}
	return 0
}

func (ps *peers) closeAll() {
	ps.server.Close()
	ps.mu.Lock()
	links := ps.links
	ps.links = nil
	ps.mu.Unlock()
	for _, p := range links {
		p.link.Close()
	}
}
