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
	// exchangeEvery is how often entries of a zone tell each other what they
	// have in flight: in that time an entry starts about one request.
	exchangeEvery = 60 * time.Millisecond
	// farExchangeEvery is the same between zones, where bytes are dear.
	farExchangeEvery = 300 * time.Millisecond
	exchangePath     = "/exchange"
	// heardFor is how long a silent neighbour's requests still count.
	heardFor = 2 * time.Second
)

// neighbours exchanges loads with the other entries: all loads within the
// zone, and between zones those at the asked or asking entry's own servers.
// Of each pair, the entry whose name comes first asks; the reply carries the
// other one's loads.
type neighbours struct {
	gateway *Gateway
	server  *peer.Server

	mu    sync.Mutex
	links map[string]*neighbour
	loads map[string]heardLoads
}

// neighbour is an entry that this one asks.
type neighbour struct {
	zone  string
	link  *peer.Link
	asked time.Time
	busy  bool
}

// heardLoads are one neighbour's loads and when they came.
type heardLoads struct {
	loads []peer.Load
	at    time.Time
}

func newNeighbours(g *Gateway) *neighbours {
	n := &neighbours{gateway: g, links: make(map[string]*neighbour), loads: make(map[string]heardLoads)}
	n.server = peer.NewServer(g.settings.PeerKey, n.answer, func(address string) {
		event.PeerRefused.Log(g.logger, logrus.Fields{"address": address})
	})
	return n
}

func (n *neighbours) run(ctx context.Context) {
	ticker := time.NewTicker(exchangeEvery)
	defer ticker.Stop()
	defer n.closeAll()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			n.exchange(ctx)
		}
	}
}

// update links to the zone's live entries.
func (n *neighbours) update(rows []membership.Row) {
	wanted := make(map[string]string)
	for _, row := range rows {
		if row.Address != "" && strings.Compare(n.gateway.settings.Name, row.Entry) < 0 {
			wanted[row.Address] = row.Zone
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for address, known := range n.links {
		if wanted[address] == "" {
			delete(n.links, address)
			n.gateway.loop(known.link.Close)
		}
	}
	for address, zone := range wanted {
		if n.links[address] == nil && n.links != nil {
			n.links[address] = &neighbour{zone: zone, link: n.dial(address)}
		}
	}
}

func (n *neighbours) dial(address string) *peer.Link {
	return peer.NewLink("ws://"+address+exchangePath, n.gateway.settings.PeerKey,
		peer.WithHTTPClient(&http.Client{Transport: &http.Transport{DialContext: n.gateway.dial}}),
		peer.WithState(func(connected bool) {
			if connected {
				event.PeerConnected.Log(n.gateway.logger, logrus.Fields{"address": address})
				return
			}
			event.PeerLost.Log(n.gateway.logger, logrus.Fields{"address": address})
		}))
}

func (n *neighbours) exchange(ctx context.Context) {
	now := time.Now()
	n.mu.Lock()
	var due []*neighbour
	for _, known := range n.links {
		every := exchangeEvery
		if known.zone != n.gateway.settings.Zone {
			every = farExchangeEvery
		}
		if !known.busy && known.link.Connected() && now.Sub(known.asked) >= every-exchangeEvery/2 {
			known.busy, known.asked = true, now
			due = append(due, known)
		}
	}
	n.mu.Unlock()
	for _, known := range due {
		n.gateway.loop(func() { n.ask(ctx, known) })
	}
	n.apply()
}

func (n *neighbours) ask(ctx context.Context, known *neighbour) {
	reply, err := known.link.Call(ctx, peer.Request{Exchange: &peer.Exchange{
		Entry: n.gateway.settings.Name, Zone: n.gateway.settings.Zone, Loads: n.own(known.zone),
	}})
	// After a failure the link redials, and tells when it has lost the peer.
	if err == nil && reply.Exchange != nil {
		n.heard(reply.Exchange.Entry, reply.Exchange.Loads)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	known.busy = false
}

// own returns what this entry has in flight, for an entry of the zone.
func (n *neighbours) own(zone string) []peer.Load {
	servers := n.gateway.registry.View().Servers
	concerns := func(l registry.Incarnation) bool {
		s := servers[l.ID]
		return zone == n.gateway.settings.Zone || (s != nil && (s.Zone == zone || s.Zone == n.gateway.settings.Zone))
	}
	now := time.Now()
	stalled := make(map[registry.Incarnation]bool)
	for _, l := range n.gateway.balancer.Stalled(now) {
		stalled[l] = true
	}
	counts := n.gateway.balancer.InFlight()
	loads := make([]peer.Load, 0, len(counts))
	for l := range stalled {
		if counts[l] == 0 && concerns(l) {
			loads = append(loads, peer.Load{Server: l.ID, Born: l.StartTime, Stalled: true})
		}
	}
	for l, count := range counts {
		if concerns(l) {
			loads = append(loads, peer.Load{Server: l.ID, Born: l.StartTime, InFlight: count, Stalled: stalled[l]})
		}
	}
	return loads
}

func (n *neighbours) answer(_ context.Context, r peer.Request) peer.Reply {
	if r.Exchange == nil {
		return peer.Reply{}
	}
	n.heard(r.Exchange.Entry, r.Exchange.Loads)
	n.apply()
	return peer.Reply{Exchange: &peer.ExchangeReply{
		Entry: n.gateway.settings.Name, Zone: n.gateway.settings.Zone, Ready: n.gateway.Ready(), Loads: n.own(r.Exchange.Zone),
	}}
}

// advancing reports whether an entry has streams at the server that go on: it
// lives, even if this entry and the store don't reach it.
func (n *neighbours) advancing(server string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	for _, h := range n.loads {
		if now.Sub(h.at) > heardFor {
			continue
		}
		for _, l := range h.loads {
			if l.Server == server && l.InFlight > 0 && !l.Stalled {
				return true
			}
		}
	}
	return false
}

func (n *neighbours) heard(entry string, loads []peer.Load) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loads[entry] = heardLoads{loads: loads, at: time.Now()}
}

// apply sums what the neighbours have in flight.
func (n *neighbours) apply() {
	now := time.Now()
	sums := make(map[registry.Incarnation]dispatch.PeerLoad)
	n.mu.Lock()
	for entry, h := range n.loads {
		if now.Sub(h.at) > heardFor {
			delete(n.loads, entry)
			continue
		}
		for _, l := range h.loads {
			id := registry.Incarnation{ID: l.Server, StartTime: l.Born}
			sum := sums[id]
			sum.InFlight += l.InFlight
			sum.Stalled = sum.Stalled || l.Stalled
			sums[id] = sum
		}
	}
	n.mu.Unlock()
	n.gateway.balancer.SetPeerLoads(sums)
	n.gateway.lines.Dispatch()
}

func (n *neighbours) closeAll() {
	n.server.Close()
	n.mu.Lock()
	links := n.links
	n.links = nil
	n.mu.Unlock()
	for _, known := range links {
		known.link.Close()
	}
}
