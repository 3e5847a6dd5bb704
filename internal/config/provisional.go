package config

import (
	"maps"
	"slices"

	"github.com/hibiscuspulley/hibiscuspulley/pkg/operator"
)

// ProvisionalOrder is a change that an entry accepted while the platform was
// unreachable: a zone taken out or put back in, or a changed instance. It takes
// effect at every entry that receives it. Once the platform is reachable again,
// it is committed as a regular change, unless another change of the same entity
// was committed first.
type ProvisionalOrder struct {
	// Number is higher than the numbers of all orders that were stored at the entry
	// when it created this one. Of two orders of the same entity, the one with the
	// higher number takes effect.
	Number uint64
	Change operator.Change
}

// CanBeProvisional reports whether a change may take effect before it is stored in
// the table.
func CanBeProvisional(c operator.Change) bool {
	return !c.Deleted && (c.Kind == operator.KindZone || c.Kind == operator.KindInstance)
}

// superseded reports whether a change of the entity was committed after the
// revision that the order is based on.
func (p ProvisionalOrder) superseded(committed *State) bool {
	last, found := committed.LastChange(p.Change.Kind, p.Change.Name)
	return found && last.Revision > p.Change.Base
}

// before reports whether p is older than another order, by number. The attempt
// identifier breaks ties.
func (p ProvisionalOrder) before(other ProvisionalOrder) bool {
	if p.Number != other.Number {
		return p.Number < other.Number
	}
	return p.Change.Attempt < other.Change.Attempt
}

// orderSet holds the newest provisional order of each entity.
type orderSet map[entity]ProvisionalOrder

// add stores an order if it is newer than the stored order of its entity and not
// superseded, and reports whether it did. A superseded order must not replace one
// that is in effect.
func (m orderSet) add(p ProvisionalOrder, committed *State) bool {
	key := entity{p.Change.Kind, p.Change.Name}
	current, found := m[key]
	if found && !current.before(p) || p.superseded(committed) {
		return false
	}
	m[key] = p
	return true
}

// highest returns the highest number of the stored orders, 0 without any.
func (m orderSet) highest() uint64 {
	highest := uint64(0)
	for _, p := range m {
		highest = max(highest, p.Number)
	}
	return highest
}

// dropSuperseded removes the orders whose entity has a later committed change:
// either the order itself, once it is recorded, or a change committed before it.
func (m orderSet) dropSuperseded(committed *State) {
	maps.DeleteFunc(m, func(_ entity, p ProvisionalOrder) bool {
		return p.superseded(committed)
	})
}

// applyTo returns the committed state with the orders applied. Its revision and
// the last changes of its entities stay those of the committed state.
func (m orderSet) applyTo(committed *State) *State {
	s := committed
	for _, p := range m {
		s = s.withChange(p.Change)
	}
	if s != committed {
		s.revision = committed.revision
		s.last = committed.last
	}
	return s
}

// list returns the orders sorted by number.
func (m orderSet) list() []ProvisionalOrder {
	list := slices.Collect(maps.Values(m))
	slices.SortFunc(list, func(a, b ProvisionalOrder) int {
		if a.before(b) {
			return -1
		}
		return 1
	})
	return list
}
