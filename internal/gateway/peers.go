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
	"github.com/hibiscuspulley/hibiscuspulley/internal/membership"
	"github.com/hibiscuspulley/hibiscuspulley/internal/peer"
	"github.com/hibiscuspulley/hibiscuspulley/internal/registry"
)

const (
	// exchangeInterval is the time between two exchanges with an entry of the
	// same zone. An entry begins to serve about one request in that time.
	exchangeInterval = 60 * time.Millisecond
	// crossZoneExchangeInterval is longer because traffic between zones is
	// expensive.
	crossZoneExchangeInterval = 300 * time.Millisecond
	exchangePath              = "/exchange"
	// peerLoadTTL is how long the loads of an unresponsive peer are still
	// counted.
	peerLoadTTL = 2 * time.Second
)

// peers exchanges the numbers of in-flight requests, by server, and what is known
// about prompt parts that crash servers with the other entries. Entries of the same zone exchange them for all servers. Entries of
// different zones exchange them only for the servers of those two zones. In each
// pair of entries, the one whose name sorts first sends the exchange request, and
// the reply carries the other entry's loads.
type peers struct {
	gateway *Gateway
	server  *peer.Server

	// mu guards the maps and the peerEntry fields lastExchange and pending.
	mu sync.Mutex
	// links holds the peers that this entry sends exchange requests to, by
	// address. It is nil after closeAll.
	links map[string]*peerEntry
	// loads holds the last loads of each peer, by its name.
	loads map[string]peerLoads
}

// peerEntry is an entry to which this one sends exchange requests.
type peerEntry struct {
	zone         string
	link         *peer.Link
	lastExchange time.Time
	// pending is set while an exchange request is in flight.
	pending bool
}

// peerLoads holds the loads of one peer and when they were received.
type peerLoads struct {
	loads []peer.Load
	at    time.Time
}

func newPeers(g *Gateway) *peers {
	ps := &peers{gateway: g, links: make(map[string]*peerEntry), loads: make(map[string]peerLoads)}
	ps.server = peer.NewServer(g.settings.PeerKey, ps.handleExchange, func(address string) {
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

// update opens and closes links to match the rows of the live entries. Only
// entries whose names sort after this entry's name get a link.
func (ps *peers) update(rows []membership.Row) {
	wanted := make(map[string]string)
	for _, row := range rows {
		if row.Address != "" && strings.Compare(ps.gateway.settings.Name, row.Entry) < 0 {
			wanted[row.Address] = row.Zone
		}
	}
	ps.mu.Lock()
	defer ps.mu.Unlock()
	for address, p := range ps.links {
		if wanted[address] == "" {
			delete(ps.links, address)
			ps.gateway.spawn(p.link.Close)
		}
	}
	for address, zone := range wanted {
		if ps.links[address] == nil && ps.links != nil {
			ps.links[address] = &peerEntry{zone: zone, link: ps.dial(address)}
		}
	}
}

func (ps *peers) dial(address string) *peer.Link {
	return peer.NewLink("ws://"+address+exchangePath, ps.gateway.settings.PeerKey,
		peer.WithHTTPClient(&http.Client{Transport: &http.Transport{DialContext: ps.gateway.dial}}),
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
	ps.apply()
}

func (ps *peers) exchangeWith(ctx context.Context, p *peerEntry) {
	reply, err := p.link.Call(ctx, peer.Request{Exchange: &peer.Exchange{
		Entry: ps.gateway.settings.Name, Zone: ps.gateway.settings.Zone, Loads: ps.localLoads(p.zone),
		Parts: ps.gateway.isolation.tracker.Report(time.Now()),
	}})
	// After a failure the link redials. Its connection handler logs the lost
	// connection.
	if err == nil && reply.Exchange != nil {
		ps.storeLoads(reply.Exchange.Entry, reply.Exchange.Loads)
		ps.gateway.isolation.tracker.Merge(time.Now(), reply.Exchange.Parts)
	}
	ps.mu.Lock()
	defer ps.mu.Unlock()
	p.pending = false
}

// localLoads returns the loads to send to an entry of the zone: for each relevant
// server, the number of this entry's in-flight requests and whether the server
// is stalled. Stalled servers are included even without requests in flight.
func (ps *peers) localLoads(zone string) []peer.Load {
	servers := ps.gateway.registry.View().Servers
	relevant := func(inc registry.Incarnation) bool {
		s := servers[inc.ID]
		return zone == ps.gateway.settings.Zone || (s != nil && (s.Zone == zone || s.Zone == ps.gateway.settings.Zone))
	}
	now := time.Now()
	stalled := make(map[registry.Incarnation]bool)
	for _, inc := range ps.gateway.balancer.Stalled(now) {
		stalled[inc] = true
	}
	counts := ps.gateway.balancer.InFlight()
	loads := make([]peer.Load, 0, len(counts))
	for inc := range stalled {
		if counts[inc] == 0 && relevant(inc) {
			loads = append(loads, peer.Load{Server: inc.ID, StartTime: inc.StartTime, Stalled: true})
		}
	}
	for inc, count := range counts {
		if relevant(inc) {
			loads = append(loads, peer.Load{Server: inc.ID, StartTime: inc.StartTime, InFlight: count, Stalled: stalled[inc]})
		}
	}
	return loads
}

func (ps *peers) handleExchange(_ context.Context, r peer.Request) peer.Reply {
	if r.Exchange == nil {
		return peer.Reply{}
	}
	ps.storeLoads(r.Exchange.Entry, r.Exchange.Loads)
	ps.gateway.isolation.tracker.Merge(time.Now(), r.Exchange.Parts)
	ps.apply()
	return peer.Reply{Exchange: &peer.ExchangeReply{
		Entry: ps.gateway.settings.Name, Zone: ps.gateway.settings.Zone, Ready: ps.gateway.Ready(), Loads: ps.localLoads(r.Exchange.Zone),
		Parts: ps.gateway.isolation.tracker.Report(time.Now()),
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
	for _, reported := range ps.loads {
		if now.Sub(reported.at) > peerLoadTTL {
			continue
		}
		for _, l := range reported.loads {
			if l.Server == server && l.InFlight > 0 && !l.Stalled {
				return true
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

// apply passes the sums of the peers' in-flight requests to the balancer and
// dispatches queued requests. It drops loads older than peerLoadTTL.
func (ps *peers) apply() {
	now := time.Now()
	sums := make(map[registry.Incarnation]dispatch.PeerLoad)
	ps.mu.Lock()
	for entry, reported := range ps.loads {
		if now.Sub(reported.at) > peerLoadTTL {
			delete(ps.loads, entry)
			continue
		}
		for _, l := range reported.loads {
			inc := registry.Incarnation{ID: l.Server, StartTime: l.StartTime}
			sum := sums[inc]
			sum.InFlight += l.InFlight
			sum.Stalled = sum.Stalled || l.Stalled
			sums[inc] = sum
		}
	}
	ps.mu.Unlock()
	ps.gateway.balancer.SetPeerLoads(sums)
	ps.gateway.queues.Dispatch()
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
