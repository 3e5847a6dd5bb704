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
	// linksPerOtherZone is the maximum number of entries of each other zone that
	// an entry links to.
	linksPerOtherZone = 2
	exchangePath      = "/exchange"
	dialTimeout       = time.Second
)

// peerState holds the link to one peer and the results of the last exchange.
type peerState struct {
	link    *peer.Link
	address string
	// entry and zone are empty until the peer has replied.
	entry string
	zone  string
	// ready reports whether the peer accepts requests of callers.
	ready bool
	// exchanging is true while an exchange with the peer is in flight.
	exchanging bool
	// lastReplyAt is when the peer last replied to an exchange.
	lastReplyAt time.Time
}

// peers maintains the links to other entries and runs the periodic exchange.
type peers struct {
	logger   *logrus.Logger
	identity membership.Session
	key      string
	scheme   string
	seeds    []string
	client   *http.Client
	// view returns the cached view of the platform's table.
	view    func() *grouping.View
	permits *permit.Holder
	// revision returns the configuration revision in force.
	revision func() uint64
	// creditRequests returns this entry's credit requests, keyed by the entry
	// that must grant them. granter returns that entry for a group.
	creditRequests func(granter func(group string) string) map[string][]permit.CreditRequest
	// grantLocal handles a credit request that this entry itself must grant. It
	// returns false if it can't watch the group.
	grantLocal func(now time.Time, req permit.CreditRequest) (permit.Grant, bool)
	// takeUsage returns and resets the tokens that organisations have used here.
	takeUsage func() []peer.Usage
	// provisionalOrders returns the operators' configuration changes that this
	// entry knows of and that are not in the platform's table yet.
	provisionalOrders func() []peer.Order
	// addProvisionalOrders adds the provisional changes received from a peer.
	addProvisionalOrders func([]peer.Order)
	// applyConfig applies the configuration changes that a peer returned to a
	// config pull.
	applyConfig func(peer.ConfigReply)
	// onGrants runs after grants may have been applied.
	onGrants func()

	mu     sync.Mutex
	links  map[string]*peerState
	closed bool
	wg     sync.WaitGroup
}

// step updates the links and starts an exchange with every connected peer.
func (p *peers) step(ctx context.Context) {
	p.updateLinks()
	p.exchangeAll(ctx)
}

// updateLinks opens links to the wanted entries and closes all others.
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

// wantedAddresses returns the peer addresses of all other live entries of this zone
// and of up to linksPerOtherZone live entries of each other zone. If the view has no
// sessions, it returns the configured seeds except this entry's own address.
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
			names = names[:min(linksPerOtherZone, len(names))]
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

// dial opens a link to a peer.
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

// exchangeAll grants this entry's own credit requests and starts an exchange with
// every connected peer that has none in flight. Only peers of this zone receive
// credit requests and usage. The usage is not kept for a peer that is skipped.
func (p *peers) exchangeAll(ctx context.Context) {
	requests := p.creditRequests(p.granter)
	p.exchangeLocal(requests[p.identity.Entry])
	usage := p.takeUsage()
	for _, state := range p.beginExchanges() {
		message := peer.Exchange{
			Entry: p.identity.Entry, Zone: p.identity.Zone, Revision: p.revision(),
			Orders: p.provisionalOrders(),
		}
		if state.zone == p.identity.Zone {
			message.CreditRequests = requests[state.entry]
			message.Usage = usage
		}
		p.startExchange(ctx, state.address, message)
	}
}

// exchangeLocal grants this entry's own credit requests without a network call. It
// runs onGrants also if there are none.
func (p *peers) exchangeLocal(requests []permit.CreditRequest) {
	requestedAt := time.Now()
	for _, req := range requests {
		if grant, ok := p.grantLocal(requestedAt, req); ok {
			p.permits.Apply(requestedAt, grant)
		}
	}
	p.onGrants()
}

// beginExchanges marks every connected peer without an exchange in flight as
// exchanging and returns copies of their states.
func (p *peers) beginExchanges() []peerState {
	p.mu.Lock()
	defer p.mu.Unlock()
	var states []peerState
	for _, state := range p.links {
		if state.exchanging || p.closed || !state.link.Connected() {
			continue
		}
		state.exchanging = true
		states = append(states, *state)
	}
	return states
}

// startExchange runs an exchange with a peer in a goroutine. It does nothing if the
// link has been closed meanwhile.
func (p *peers) startExchange(ctx context.Context, address string, message peer.Exchange) {
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
		state.exchanging = false
	})
}

// exchange sends a message to a peer and applies the response. If the peer has a
// later configuration revision, it also pulls the changes.
func (p *peers) exchange(ctx context.Context, state *peerState, message peer.Exchange) {
	requestedAt := time.Now()
	reply, err := state.link.Call(ctx, peer.Request{Exchange: &message})
	if err != nil || reply.Exchange == nil {
		return
	}
	response := *reply.Exchange
	p.mu.Lock()
	state.entry, state.zone = response.Entry, response.Zone
	state.ready = response.Ready
	state.lastReplyAt = time.Now()
	p.mu.Unlock()
	p.addProvisionalOrders(response.Orders)
	for _, grant := range response.Grants {
		p.permits.Apply(requestedAt, grant)
	}
	if len(response.Grants) > 0 {
		p.onGrants()
	}
	if response.Revision > p.revision() {
		p.pullConfig(ctx, state.link)
	}
}

// pullConfig fetches the configuration changes that this entry lacks from a peer.
func (p *peers) pullConfig(ctx context.Context, link *peer.Link) {
	request := peer.Request{ConfigPull: &peer.ConfigPull{After: p.revision()}}
	reply, err := link.Call(ctx, request)
	if err == nil && reply.Config != nil {
		p.applyConfig(*reply.Config)
	}
}

// granter returns the entry that must grant the credits of a group: the group's
// owner if it is this entry or responsive, or else the one of this entry and the
// zone's responsive entries that rendezvous hashing selects for the group.
func (p *peers) granter(group string) string {
	candidates := p.responsiveZoneEntries()
	owner := p.view().Groups[group].Owner.Entry
	if slices.Contains(candidates, owner) {
		return owner
	}
	return routing.Rendezvous(group, candidates)[0]
}

// responsiveZoneEntries returns this entry and the responsive peers of its zone.
func (p *peers) responsiveZoneEntries() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	entries := []string{p.identity.Entry}
	for _, state := range p.links {
		if state.zone == p.identity.Zone && state.entry != "" && p.isResponsive(state) {
			entries = append(entries, state.entry)
		}
	}
	return entries
}

// isResponsive reports whether the peer is connected and has recently replied to
// an exchange.
func (p *peers) isResponsive(state *peerState) bool {
	return state.link.Connected() && time.Since(state.lastReplyAt) < 3*exchangeInterval
}

// otherZones returns the addresses of the responsive entries of other zones that
// accept requests, in no particular order. It omits the zones for which zoneOut
// reports that they are out of service.
func (p *peers) otherZones(zoneOut func(string) bool) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var addresses []string
	for address, state := range p.links {
		inOtherZone := state.zone != p.identity.Zone && state.zone != ""
		if inOtherZone && state.ready && p.isResponsive(state) && !zoneOut(state.zone) {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// relay sends a session write through a peer of the zone. It returns false if no
// peer reaches the platform.
func (p *peers) relay(ctx context.Context, r peer.Relay) (peer.RelayReply, bool) {
	for _, link := range p.zoneLinks() {
		reply, err := link.Call(ctx, peer.Request{Relay: &r})
		if err == nil && reply.Relay != nil && reply.Relay.PlatformReached {
			return *reply.Relay, true
		}
	}
	return peer.RelayReply{}, false
}

// zoneLinks returns the links to the peers of this zone.
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

// close closes all links and waits for the exchanges to end.
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
