package formation

import (
	"maps"
	"math"
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/internal/registry"
)

const (
	// lossSpan is how far back losses of servers are counted.
	lossSpan = 30 * time.Second
	// repairTime is the time of a load and a repair. The spares must last for the
	// losses in that time.
	repairTime = 20 * time.Second
	// repairTTL is how long servers are set aside for the repair of a lost group.
	repairTTL = 30 * time.Second
)

// returnTime is how long a server without a record may come back. The record also goes
// when only the store or the way to it is lost.
const returnTime = 12 * time.Second

// lossCounter counts the servers of a zone that were lost.
type lossCounter struct {
	// known holds the domains of the servers.
	known map[registry.Incarnation]string
	lost  map[registry.Incarnation]loss
}

type loss struct {
	at     time.Time
	domain string
	// mayReturn is set if the server did not announce that it leaves, and no other
	// one has replaced it.
	mayReturn bool
}

// observe compares the zone's servers with those of the last step. An incarnation
// whose record comes back was not lost.
func (l *lossCounter) observe(now time.Time, v *registry.View, zone, service string) {
	current := make(map[registry.Incarnation]string, len(l.known))
	for _, srv := range v.Servers {
		if srv.Zone == zone && srv.Service == service && !srv.Leaving {
			current[srv.Incarnation()] = srv.Domain
			delete(l.lost, srv.Incarnation())
		}
	}
	if l.lost == nil {
		l.lost = make(map[registry.Incarnation]loss)
	}
	for inc, domain := range l.known {
		if _, found := current[inc]; !found {
			l.lost[inc] = loss{at: now, domain: domain, mayReturn: v.Servers[inc.ID] == nil}
		}
	}
	l.known = current
	maps.DeleteFunc(l.lost, func(_ registry.Incarnation, lost loss) bool { return now.Sub(lost.at) > lossSpan })
}

// returning counts the servers that may come back, by domain. The targets of a plan
// must not change while they are away.
func (l *lossCounter) returning(now time.Time) map[string]int {
	count := make(map[string]int)
	for _, lost := range l.lost {
		if lost.mayReturn && now.Sub(lost.at) < returnTime {
			count[lost.domain]++
		}
	}
	return count
}

// expected returns the number of losses to expect within repairTime.
func (l *lossCounter) expected() int {
	return int(math.Ceil(float64(len(l.lost)) * repairTime.Seconds() / lossSpan.Seconds()))
}

// repairs tracks the groups that were lost and are to be formed again.
type repairs struct {
	// active holds the models of the groups that served or were being formed in the
	// last step.
	active map[registry.GroupID]string
	// lostAt holds when groups of a model were lost, the oldest first.
	lostAt map[string][]time.Time
}

// observe compares the groups with those of the last step. A new group stands for the
// repair of the oldest lost one.
func (r *repairs) observe(now time.Time, groups map[registry.GroupID]*Group) {
	if r.lostAt == nil {
		r.lostAt = make(map[string][]time.Time)
	}
	active := make(map[registry.GroupID]string, len(groups))
	for id, g := range groups {
		if g.Phase >= Draining {
			continue
		}
		active[id] = g.Model
		if _, found := r.active[id]; !found && len(r.lostAt[g.Model]) > 0 {
			r.lostAt[g.Model] = r.lostAt[g.Model][1:]
		}
	}
	for id, model := range r.active {
		if _, found := active[id]; !found {
			r.lostAt[model] = append(r.lostAt[model], now)
		}
	}
	r.active = active
}

// giveUp makes a group count as given up rather than lost.
func (r *repairs) giveUp(id registry.GroupID) { delete(r.active, id) }

// due returns the number of groups of each model that are to be formed again. Servers
// for them are set aside.
func (r *repairs) due(now time.Time) map[string]int {
	due := make(map[string]int)
	for model, times := range r.lostAt {
		for len(times) > 0 && now.Sub(times[0]) > repairTTL {
			times = times[1:]
		}
		r.lostAt[model] = times
		due[model] = len(times)
	}
	return due
}
