package gateway

import (
	"expvar"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hibiscuspulley/hibiscuspulley/internal/event"
	"github.com/hibiscuspulley/hibiscuspulley/internal/quota"
	"github.com/hibiscuspulley/hibiscuspulley/internal/registry"
)

// invalidLimitInterval is the minimum time between two log lines about invalid
// limits of the same server.
const invalidLimitInterval = 10 * time.Second

// limits keeps the requests to servers within the limits that they name in their
// responses.
type limits struct {
	gateway *Gateway
	book    *quota.Book

	mu sync.Mutex
	// invalidAt is when an invalid limit of a server was last logged.
	invalidAt map[string]time.Time
}

func newLimits(g *Gateway) *limits {
	return &limits{gateway: g, book: quota.NewBook(), invalidAt: make(map[string]time.Time)}
}

// publish adds the number of servers that name a limit to the metrics.
func (l *limits) publish(vars *expvar.Map) {
	vars.Set("limited-servers", expvar.Func(func() any { return l.book.Limited() }))
}

// observe takes over what a server's response says about its limit. A misdirected
// request may have been answered by another server. The lack of a limit counts only
// in signed responses, because rejections may be made without the server's state.
func (l *limits) observe(now time.Time, server *registry.Server, status int, info ResponseInfo) {
	switch {
	case status == http.StatusMisdirectedRequest:
		return
	case info.InvalidLimit != nil:
		l.logInvalid(now, server, info.InvalidLimit)
		return
	case info.Limit == 0 && !info.Signed:
		return
	}
	if previous, changed := l.book.Observe(now, server.Incarnation(), info.Limit); changed {
		event.LimitChanged.Log(l.gateway.logger, logrus.Fields{
			"server": server.ID, "born": server.StartTime, "limit": info.Limit, "previous": previous, "source": "response",
		})
	}
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
		s := v.Servers[inc.ID]
		return s != nil && s.StartTime == inc.StartTime
	})
}
