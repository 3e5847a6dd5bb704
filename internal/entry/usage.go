package entry

import (
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/internal/peer"
	"github.com/hibiscuspulley/hibiscuspulley/internal/permit"
)

// usageKey names what an organisation was served of one service.
type usageKey struct {
	service      string
	organisation string
}

// chargeTokens charges what an attempt cost beyond what was expected.
func (rt *router) chargeTokens(n requirements, tokens int) {
	rt.queue(n.service.Name).AdjustCharge(n.organisation, n.weight, float64(tokens)-n.cost)
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.usage[usageKey{n.service.Name, n.organisation}] += int64(tokens)
}

// takeUsage returns and resets what organisations were served here.
func (rt *router) takeUsage() []peer.Usage {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	var usage []peer.Usage
	for key, tokens := range rt.usage {
		usage = append(usage, peer.Usage{Service: key.service, Organisation: key.organisation, Tokens: tokens})
	}
	clear(rt.usage)
	return usage
}

// noteUsage charges what organisations were served at another entry, so that
// spreading over entries gains nothing.
func (rt *router) noteUsage(usage []peer.Usage) {
	state := rt.config.State()
	for _, u := range usage {
		rt.queue(u.Service).AdjustCharge(u.Organisation, state.Weight(u.Organisation), float64(u.Tokens))
	}
}

// creditRequests returns what this entry asks of each granting entry: for each group
// what it uses, some headroom, and its part of what waits.
func (rt *router) creditRequests(granter func(group string) string) map[string][]permit.CreditRequest {
	now := time.Now()
	demands := make(map[string][]permit.CreditRequest)
	for _, s := range rt.config.State().Services() {
		groups := rt.groups(s.Name)
		if len(groups) == 0 {
			continue
		}
		waiting := (rt.queue(s.Name).Length() + len(groups) - 1) / len(groups)
		for _, g := range groups {
			status := rt.permits.Status(g.Name, now)
			entry := granter(g.Name)
			demands[entry] = append(demands[entry], permit.CreditRequest{
				Group: g.Name, Want: status.InFlight + creditHeadroom + waiting,
				InFlight: status.InFlight, AppliedSeq: status.AppliedSeq,
			})
		}
	}
	return demands
}
