package entry

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hibiscuspulley/hibiscuspulley/internal/event"
	"github.com/hibiscuspulley/hibiscuspulley/internal/grouping"
	"github.com/hibiscuspulley/hibiscuspulley/internal/membership"
	"github.com/hibiscuspulley/hibiscuspulley/internal/peer"
	"github.com/hibiscuspulley/hibiscuspulley/internal/permit"
	"github.com/hibiscuspulley/hibiscuspulley/internal/routing"
)

const (
	exchangeInterval = 500 * time.Millisecond
	// linksPerZone is how many entries of each other zone an entry links to.
	linksPerZone = 2
	exchangePath = "/exchange"
	dialTimeout  = time.Second
)

// peerState is what an entry knows of one peer.
type peerState struct {
	link    *peer.Link
	address string
	// entry and zone are empty until the peer has answered.
	entry string
	zone  string
	ready bool
	busy  bool
	// heard is when the last exchange was answered.
	heard time.Time
}

// peers keeps the links to other entries and runs the regular exchange.
type peers struct {
	logger   *logrus.Logger
	identity membership.Session
	key      string
	scheme   string
	seeds    []string
	client   *http.Client
	view     func() *grouping.View
	permits  *permit.Holder
	// revision returns the configuration revision in force.
	revision func() uint64
	// demands returns what this entry asks of each granting entry.
	creditRequests func(granter func(group string) string) map[string][]permit.CreditRequest
	// grantLocal answers the demands for groups that this entry watches.
	grantLocal func(now time.Time, d permit.CreditRequest) (permit.Grant, bool)
	// usage returns and resets what organisations were served.
	takeUsage func() []peer.Usage
	// orders returns the provisional orders known here; provide takes over
	// those that a peer knows.
	provisionalOrders    func() []peer.Order
	addProvisionalOrders func([]peer.Order)
	// pull takes over configuration from a peer that is ahead.
	applyConfig func(peer.ConfigReply)
	// granted runs after new grants were taken over.
	onGrants func()

	mu     sync.Mutex
	links  map[string]*peerState
	closed bool
	wg     sync.WaitGroup
}

// step brings the links up to date and exchanges with every peer.
func (p *peers) step(ctx context.Context) {
	p.updateLinks()
	p.exchangeAll(ctx)
}

// updateLinks dials the entries that this one should be linked to.
func (p *peers) updateLinks() {
	wanted := p.wantedAddresses()
	p.mu.Lock()
	var dropped []*peer.Link
	for address, state := range p.links {
		if !slices.Contains(wanted, address) {
			dropped = append(dropped, state.link)
			delete(p.links, address)
		}
	}
	for _, address := range wanted {
		if p.links[address] == nil && !p.closed {
			p.links[address] = &peerState{address: address, link: p.dial(address)}
		}
	}
	p.mu.Unlock()
	for _, link := range dropped {
		link.Close()
	}
}

// wantedAddresses returns the peer addresses of all entries of the own zone
// and of a few of each other zone. Without a view, the seeds take their place.
func (p *peers) wantedAddresses() []string {
	byZone := make(map[string][]string)
	sessions := p.view().Sessions
	for name, s := range sessions {
		if s.State == membership.Live && name != p.identity.Entry {
			byZone[s.Zone] = append(byZone[s.Zone], name)
		}
	}
	var addresses []string
	for zone, names := range byZone {
		if zone != p.identity.Zone {
			names = routing.Rendezvous(p.identity.Entry, names)
			names = names[:min(linksPerZone, len(names))]
		}
		for _, name := range names {
			addresses = append(addresses, sessions[name].Address)
		}
	}
	if len(sessions) > 0 {
		return addresses
	}
	return slices.DeleteFunc(slices.Clone(p.seeds), func(a string) bool { return a == p.identity.Address })
}

func (p *peers) dial(address string) *peer.Link {
	fields := logrus.Fields{"peer": address}
	return peer.NewLink(p.scheme+"://"+address+exchangePath, p.key,
		peer.WithHTTPClient(p.client),
		peer.WithRevocationHandler(p.permits.Revoke),
		peer.WithConnectionHandler(func(connected bool) {
			if connected {
				event.PeerConnected.Log(p.logger, fields)
				return
			}
			event.PeerLost.Log(p.logger, fields)
		}))
}

// exchangeAll asks for permits, from this entry itself and from its peers.
func (p *peers) exchangeAll(ctx context.Context) {
	demands := p.creditRequests(p.granter)
	p.exchangeLocal(demands[p.identity.Entry])
	usage := p.takeUsage()
	for _, state := range p.connected() {
		message := peer.Exchange{
			Entry: p.identity.Entry, Zone: p.identity.Zone, Revision: p.revision(),
			Orders: p.provisionalOrders(),
		}
		if state.zone == p.identity.Zone {
			message.CreditRequests = demands[state.entry]
			message.Usage = usage
		}
		p.start(ctx, state.address, message)
	}
}

func (p *peers) exchangeLocal(demands []permit.CreditRequest) {
	askedAt := time.Now()
	for _, d := range demands {
		if grant, ok := p.grantLocal(askedAt, d); ok {
			p.permits.Apply(askedAt, grant)
		}
	}
	p.onGrants()
}

// connected returns copies of the states of the peers that are connected and
// not in the middle of an exchange, and marks them busy.
func (p *peers) connected() []peerState {
	p.mu.Lock()
	defer p.mu.Unlock()
	var states []peerState
	for _, state := range p.links {
		if state.busy || p.closed || !state.link.Connected() {
			continue
		}
		state.busy = true
		states = append(states, *state)
	}
	return states
}

func (p *peers) start(ctx context.Context, address string, message peer.Exchange) {
	p.mu.Lock()
	state := p.links[address]
	p.mu.Unlock()
	if state == nil {
		return
	}
	p.wg.Go(func() {
		p.exchange(ctx, state, message)
		p.mu.Lock()
		defer p.mu.Unlock()
		state.busy = false
	})
}

func (p *peers) exchange(ctx context.Context, state *peerState, message peer.Exchange) {
	askedAt := time.Now()
	reply, err := state.link.Call(ctx, peer.Request{Exchange: &message})
	if err != nil || reply.Exchange == nil {
		return
	}
	answer := *reply.Exchange
	p.mu.Lock()
	state.entry, state.zone = answer.Entry, answer.Zone
	state.ready = answer.Ready
	state.heard = time.Now()
	p.mu.Unlock()
	p.addProvisionalOrders(answer.Orders)
	for _, grant := range answer.Grants {
		p.permits.Apply(askedAt, grant)
	}
	if len(answer.Grants) > 0 {
		p.onGrants()
	}
	if answer.Revision > p.revision() {
		p.pullFrom(ctx, state.link)
	}
}

func (p *peers) pullFrom(ctx context.Context, link *peer.Link) {
	request := peer.Request{ConfigPull: &peer.ConfigPull{After: p.revision()}}
	reply, err := link.Call(ctx, request)
	if err == nil && reply.Config != nil {
		p.applyConfig(*reply.Config)
	}
}

// granter returns the entry to ask for a group: its owner while that one
// answers, else the first for the group among those that do.
func (p *peers) granter(group string) string {
	candidates := p.reachable()
	owner := p.view().Groups[group].Owner.Entry
	if slices.Contains(candidates, owner) {
		return owner
	}
	return routing.Rendezvous(group, candidates)[0]
}

// reachable returns this entry and the peers of its zone that answer.
func (p *peers) reachable() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	entries := []string{p.identity.Entry}
	for _, state := range p.links {
		if state.zone == p.identity.Zone && state.entry != "" && p.answers(state) {
			entries = append(entries, state.entry)
		}
	}
	return entries
}

// answers reports whether the peer answered one of the last exchanges.
func (p *peers) answers(state *peerState) bool {
	return state.link.Connected() && time.Since(state.heard) < 3*exchangeInterval
}

// otherZones returns the entries of other zones that take requests, those of
// the first zones first.
func (p *peers) otherZones(zoneOut func(string) bool) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var addresses []string
	for address, state := range p.links {
		foreign := state.zone != p.identity.Zone && state.zone != ""
		if foreign && state.ready && p.answers(state) && !zoneOut(state.zone) {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// relay sends a session write through the first peer of the zone that reaches
// the platform.
func (p *peers) relay(ctx context.Context, r peer.Relay) (peer.RelayReply, bool) {
	for _, link := range p.zoneLinks() {
		reply, err := link.Call(ctx, peer.Request{Relay: &r})
		if err == nil && reply.Relay != nil && reply.Relay.PlatformReached {
			return *reply.Relay, true
		}
	}
	return peer.RelayReply{}, false
}

func (p *peers) zoneLinks() []*peer.Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	var links []*peer.Link
	for _, state := range p.links {
		if state.zone == p.identity.Zone {
			links = append(links, state.link)
		}
	}
	return links
}

func (p *peers) close() {
	p.mu.Lock()
	p.closed = true
	links := p.links
	p.links = make(map[string]*peerState)
	p.mu.Unlock()
	for _, state := range links {
		state.link.Close()
	}
	p.wg.Wait()
}
