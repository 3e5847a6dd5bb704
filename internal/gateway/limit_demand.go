package gateway

import (
	"context"
	"math"
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/internal/dispatch"
	"github.com/hibiscuspulley/hibiscuspulley/internal/peer"
	"github.com/hibiscuspulley/hibiscuspulley/internal/quota"
)

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
			l.accept(time.Now(), lead, reply.Sync.Quota)
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

// accept takes over grants and backlogs, and records the contact if they come from the
// zone's lead.
func (l *limits) accept(now time.Time, from string, m quota.Message) {
	if l.book.Limited() == 0 {
		return
	}
	if name, _ := l.lead(now); name == from {
		l.holder.Contact(now)
	}
	l.storeBacklogs(now, m.Backlogs)
	if len(m.Grants) > 0 {
		l.holder.Add(now, m.Grants)
		l.gateway.queues.Dispatch()
	}
}

// expectedWait returns how long a further request will wait for a grant, if all servers
// that could take it have limits. Grants go to entries by what waits there, and an
// organisation without waiting requests gets the entry's next one, unless the queue
// orders by urgency. The wait is 0 if other servers could take the request, or if the lead has not told
// its backlog lately.
func (l *limits) expectedWait(now time.Time, r dispatch.Requirements, queued dispatch.QueuedRequest) time.Duration {
	if l.book.Limited() == 0 || !l.gateway.balancer.AllLimited(r) {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.backlogs[quota.Pool{Service: r.Service, Model: r.Model}]
	if now.Sub(b.toldAt) > backlogTTL {
		return 0
	}
	queue := l.gateway.queues.Queue(r.Service, r.Model)
	length, ahead := max(queue.Length(), 1), 0
	switch {
	case l.gateway.queues.ByUrgency():
		ahead = min(queue.Ahead(queued), length-1)
	case queue.HasWaiting(queued.Organisation):
		ahead = length - 1
	}
	return time.Duration(float64(b.Wait) * backlogGrowth * float64(ahead+1) / float64(length))
}

func (l *limits) storeBacklogs(now time.Time, backlogs []quota.Backlog) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, b := range backlogs {
		l.backlogs[b.Pool] = toldBacklog{Backlog: b, toldAt: now}
	}
}
