package entry

import (
	"context"
	"net/http"
	"sort"
	"sync"

	"github.com/dghubble/sling"

	"github.com/hibiscuspulley/hibiscuspulley/internal/membership"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/operator"
)

// confirmations requests the configuration revision in force from every other entry
// with a live session in the view, and adds this entry's own. Entries that did not
// return theirs are listed as not reached.
func (p *peers) confirmations(ctx context.Context) []operator.Confirmation {
	list := []operator.Confirmation{{
		Entry: p.identity.Entry, Zone: p.identity.Zone, Revision: p.revision(), Reached: true,
	}}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, s := range p.view().Sessions {
		if s.State != membership.Live || s.Entry == p.identity.Entry {
			continue
		}
		wg.Go(func() {
			c := p.confirm(ctx, s.Session)
			mu.Lock()
			defer mu.Unlock()
			list = append(list, c)
		})
	}
	wg.Wait()
	sort.Slice(list, func(i, j int) bool { return list[i].Entry < list[j].Entry })
	return list
}

// confirm requests the configuration revision in force from one entry.
func (p *peers) confirm(ctx context.Context, s membership.Session) operator.Confirmation {
	c := operator.Confirmation{Entry: s.Entry, Zone: s.Zone}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	request, err := sling.New().Get(p.httpScheme()+"://"+s.Address+revisionPath).
		Set("Authorization", "Bearer "+p.key).Request()
	if err != nil {
		return c
	}
	var w revisionWire
	response, err := sling.New().Client(p.client).Do(request.WithContext(ctx), &w, nil)
	if err != nil || response.StatusCode != http.StatusOK {
		return c
	}
	c.Revision = w.Revision
	c.Reached = true
	return c
}

// httpScheme returns the URL scheme of HTTP requests to peers.
func (p *peers) httpScheme() string {
	if p.scheme == "wss" {
		return "https"
	}
	return "http"
}

// statuses returns the statuses of the linked peers, sorted by address. Connected is
// true only for responsive peers.
func (p *peers) statuses() []operator.PeerStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []operator.PeerStatus
	for address, state := range p.links {
		list = append(list, operator.PeerStatus{
			Entry: state.entry, Zone: state.zone, Address: address, Connected: p.isResponsive(state),
		})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Address < list[j].Address })
	return list
}
