package gateway

import (
	"expvar"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hibiscuspulley/hibiscuspulley/internal/dispatch"
	"github.com/hibiscuspulley/hibiscuspulley/internal/event"
	"github.com/hibiscuspulley/hibiscuspulley/internal/quota"
	"github.com/hibiscuspulley/hibiscuspulley/internal/registry"
)

const (
	// invalidLimitInterval is the minimum time between two log lines about invalid
	// limits or times of the same server.
	invalidLimitInterval = 10 * time.Second
	// hubSilence is how long a hub must not have been heard of before the next one in
	// rank allocates instead. Hubs of a zone exchange every 60 ms.
	hubSilence = time.Second
	// standInShare is the share of the limits that an entry allocates instead of a
	// silent one. If the other one only can't be reached, they allocate 1.5 times the
	// limits together, which servers bear for a while.
	standInShare = 0.5
	// demandPeriod is the time for which requests that are likely to arrive are asked
	// for in advance: until the entry asks again and has the reply.
	demandPeriod = 200 * time.Millisecond
	// askTimeout is how long a request that has just arrived waits for a grant. A round
	// trip within a zone takes a few milliseconds.
	askTimeout = 30 * time.Millisecond
	// backlogTTL is how long a backlog that the lead told is used. Entries whose
	// requests wait ask the lead every 100 ms.
	backlogTTL = 500 * time.Millisecond
	// backlogGrowth allows for the requests that came since the lead told a backlog.
	backlogGrowth = 1.5
	// limitedServersTTL is how long the list of servers with limits is used again.
	limitedServersTTL = 40 * time.Millisecond
	// allLimitsInterval is the time between two exchanges of all limits with the same
	// entry. Changes are sent at once.
	allLimitsInterval = time.Second
)

// limits keeps the requests to servers within the limits that they name in their
// responses. One hub of each zone allocates the limits of the zone's servers.
type limits struct {
	gateway   *Gateway
	book      *quota.Book
	holder    *quota.Holder
	allocator *quota.Allocator

	mu sync.Mutex
	// invalidAt is when an invalid limit or time of a server was last logged.
	invalidAt map[string]time.Time
	// heardAt is when each hub of the zone was last heard of, or first listed.
	heardAt map[string]time.Time
	// share is the share of the limits that this entry last allocated.
	share float64
	// limited caches the servers with limits, as of limitedAt.
	limited   []dispatch.LimitedServer
	limitedAt time.Time
	// backlogs holds what the lead last told.
	backlogs map[quota.Pool]toldBacklog
}

// toldBacklog is a backlog and when the lead told it.
type toldBacklog struct {
	quota.Backlog
	toldAt time.Time
}

func newLimits(g *Gateway) *limits {
	book := quota.NewBook()
	return &limits{
		gateway: g, book: book, holder: quota.NewHolder(book, g.entries), allocator: quota.NewAllocator(),
		invalidAt: make(map[string]time.Time), heardAt: make(map[string]time.Time),
		backlogs: make(map[quota.Pool]toldBacklog),
	}
}

// publish adds the number of servers that name a limit to the metrics.
func (l *limits) publish(vars *expvar.Map) {
	vars.Set("limited-servers", expvar.Func(func() any { return l.book.Limited() }))
}

// observe takes over what a server's response says of the server. A misdirected
// request may have been answered by another server. The lack of a limit counts only
// in signed responses, because rejections may be made without the server's state.
// That a server leaves counts in all of them.
func (l *limits) observe(now time.Time, server *registry.Server, status int, info ResponseInfo) {
	if status == http.StatusMisdirectedRequest {
		return
	}
	if info.Leaving {
		l.observeLeaving(now, server.Incarnation())
	}
	if info.InvalidWait != nil {
		l.logInvalid(now, server, info.InvalidWait)
	}
	if info.Wait > 0 && l.book.ObserveWait(now, server.Incarnation(), info.Wait) {
		l.logWait(server.Incarnation(), info.Wait, "response")
	}
	switch {
	case info.InvalidLimit != nil:
		l.logInvalid(now, server, info.InvalidLimit)
		return
	case info.Limit == 0 && !info.Signed:
		return
	}
	if change, changed := l.book.Observe(now, server.Incarnation(), info.Limit); changed {
		l.apply([]quota.Change{change}, "response")
	}
}

// observeLeaving takes over that a server has said that it leaves.
func (l *limits) observeLeaving(now time.Time, inc registry.Incarnation) {
	if l.book.ObserveLeaving(now, inc) {
		l.applyLeaving(inc, "response")
	}
}

// applyLeaving keeps new requests and groups away from a server that leaves.
func (l *limits) applyLeaving(inc registry.Incarnation, source string) {
	g := l.gateway
	event.ServerLeaving.Log(g.logger, logrus.Fields{"server": inc.ID, "born": inc.StartTime, "source": source})
	g.registry.MarkLeaving(inc, time.Now())
	g.viewChanged()
}

func (l *limits) logWait(inc registry.Incarnation, wait time.Duration, source string) {
	event.ServerWaits.Log(l.gateway.logger, logrus.Fields{
		"server": inc.ID, "born": inc.StartTime, "wait-ms": wait.Milliseconds(), "source": source,
	})
}

// merge takes over what another entry reports.
func (l *limits) merge(now time.Time, reported []quota.Statement, from string) {
	if changes := l.book.Merge(now, reported); len(changes) > 0 {
		l.apply(changes, from)
	}
}

// apply takes over changes and logs them. Requests may wait for a server whose limit is gone.
func (l *limits) apply(changes []quota.Change, source string) {
	for _, c := range changes {
		if c.Leaving {
			l.applyLeaving(c.Server, source)
		}
		if c.Wait > 0 {
			l.logWait(c.Server, c.Wait, source)
		}
		if c.Rate == c.Previous {
			continue
		}
		event.LimitChanged.Log(l.gateway.logger, logrus.Fields{
			"server": c.Server.ID, "born": c.Server.StartTime, "limit": c.Rate, "previous": c.Previous, "source": source,
		})
	}
	l.mu.Lock()
	l.limitedAt = time.Time{}
	l.mu.Unlock()
	l.gateway.queues.Dispatch()
}

func (l *limits) logInvalid(now time.Time, server *registry.Server, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if last, found := l.invalidAt[server.ID]; found && now.Sub(last) < invalidLimitInterval {
		return
	}
	for id, at := range l.invalidAt {
		if now.Sub(at) >= invalidLimitInterval {
			delete(l.invalidAt, id)
		}
	}
	l.invalidAt[server.ID] = now
	event.LimitInvalid.Log(l.gateway.logger, logrus.Fields{"server": server.ID, "born": server.StartTime, "error": err})
}

// forgetUnlisted forgets the limits of servers that are gone.
func (l *limits) forgetUnlisted(now time.Time, v *registry.View) {
	l.book.Retain(now, func(inc registry.Incarnation) bool {
		return l.gateway.isListed(now, v, inc)
	})
	l.allocator.Retain(now, func(inc registry.Incarnation) bool { return l.book.Rate(inc) > 0 })
}

// heard records that a hub was heard of.
func (l *limits) heard(now time.Time, hub string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, listed := l.heardAt[hub]; listed {
		l.heardAt[hub] = now
	}
}
