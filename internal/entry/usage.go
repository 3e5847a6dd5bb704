package entry

import (
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/internal/peer"
	"github.com/hibiscuspulley/hibiscuspulley/internal/permit"
)

// usageKey identifies an organisation's usage of a service.
type usageKey struct {
	service      string
	organisation string
}

// chargeTokens charges the difference between an attempt's generated tokens and its
// expected cost to the organisation, and records the generated tokens as usage.
func (rt *router) chargeTokens(n requirements, tokens int) {
	rt.queue(n.service.Name).AdjustCharge(n.organisation, n.weight, float64(tokens)-n.cost)
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.usage[usageKey{n.service.Name, n.organisation}] += int64(tokens)
}

// takeUsage returns and resets the tokens that organisations have used at this entry.
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

// chargePeerUsage charges the tokens that organisations have used at a peer, so an
// organisation gains nothing by spreading its requests over several entries.
func (rt *router) chargePeerUsage(usage []peer.Usage) {
	state := rt.config.State()
	for _, u := range usage {
		rt.queue(u.Service).AdjustCharge(u.Organisation, state.Weight(u.Organisation), float64(u.Tokens))
	}
}

// creditRequests returns this entry's credit requests, keyed by the entry that must
// grant them. granter returns that entry for a group. For each group, it requests the
// credits in use, creditHeadroom more, and an equal share of the service's queued
// requests, rounded up.
func (rt *router) creditRequests(granter func(group string) string) map[string][]permit.CreditRequest {
	now := time.Now()
	requests := make(map[string][]permit.CreditRequest)
	for _, s := range rt.config.State().Services() {
		groups := rt.groups(s.Name)
		if len(groups) == 0 {
			continue
		}
		queued := (rt.queue(s.Name).Length() + len(groups) - 1) / len(groups)
		for _, g := range groups {
			status := rt.permits.Status(g.Name, now)
			entry := granter(g.Name)
			requests[entry] = append(requests[entry], permit.CreditRequest{
				Group: g.Name, Want: status.InFlight + creditHeadroom + queued,
				InFlight: status.InFlight, AppliedSeq: status.AppliedSeq,
			})
		}
	}
	return requests
}
