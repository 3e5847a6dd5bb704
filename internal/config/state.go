package config

import (
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/hibiscuspulley/hibiscuspulley/pkg/operator"
)

// Initial values of the fleet-wide defaults.
const (
	defaultWeight         = 10
	defaultRetryPercent   = 10
	defaultRequestTimeout = 2 * time.Minute
)

// ErrNotNextRevision is returned for a change whose revision does not follow the
// current one.
var ErrNotNextRevision = errors.New("the change does not follow the current revision")

// entity identifies an object of the configuration.
type entity struct {
	kind operator.Kind
	name string
}

// State is the configuration at one revision. It is immutable; Apply returns a new
// State.
type State struct {
	revision      uint64
	defaults      operator.Defaults
	services      map[string]operator.Service
	organisations map[string]operator.Organisation
	zones         map[string]operator.Zone
	instances     map[string]operator.Instance
	exceptions    map[string]operator.Exception
	// last holds the last change of each entity.
	last map[entity]operator.Change
}

// NewState returns the initial configuration, at revision 0.
func NewState() *State {
	return &State{
		defaults: operator.Defaults{
			Weight:         defaultWeight,
			RetryPercent:   defaultRetryPercent,
			RequestTimeout: defaultRequestTimeout,
		},
		services:      make(map[string]operator.Service),
		organisations: make(map[string]operator.Organisation),
		zones:         make(map[string]operator.Zone),
		instances:     make(map[string]operator.Instance),
		exceptions:    make(map[string]operator.Exception),
		last:          make(map[entity]operator.Change),
	}
}

// Apply returns the state after the change. The change must be the next
// revision, else Apply fails with ErrNotNextRevision.
func (s *State) Apply(c operator.Change) (*State, error) {
	if c.Revision != s.revision+1 {
		return nil, errors.Wrapf(ErrNotNextRevision, "revision %d after %d", c.Revision, s.revision)
	}
	return s.withChange(c), nil
}

// Restore rebuilds the state from a snapshot, which consists of a revision and the
// last change of each entity.
func Restore(revision uint64, changes []operator.Change) *State {
	s := NewState()
	for _, c := range changes {
		s = s.withChange(c)
	}
	s.revision = revision
	return s
}

// withChange returns a copy of the state with the change applied, without checking
// that it is the next revision.
func (s *State) withChange(c operator.Change) *State {
	next := *s
	next.revision = c.Revision
	next.last = maps.Clone(s.last)
	next.last[entity{c.Kind, c.Name}] = c
	switch c.Kind {
	case operator.KindService:
		next.services = put(s.services, c.Name, c.Service)
	case operator.KindOrganisation:
		next.organisations = put(s.organisations, c.Name, c.Organisation)
	case operator.KindZone:
		next.zones = put(s.zones, c.Name, c.Zone)
	case operator.KindInstance:
		next.instances = put(s.instances, c.Name, c.Instance)
	case operator.KindException:
		next.exceptions = put(s.exceptions, c.Name, c.Exception)
	case operator.KindDefaults:
		if c.Defaults != nil {
			next.defaults = *c.Defaults
		}
	}
	return &next
}

// put returns a copy of m with the value set, or with the key removed if value is
// nil.
func put[V any](m map[string]V, name string, value *V) map[string]V {
	next := maps.Clone(m)
	if value == nil {
		delete(next, name)
		return next
	}
	next[name] = *value
	return next
}

// Revision returns the revision of the last change applied.
func (s *State) Revision() uint64 {
	return s.revision
}

// Defaults returns the fleet-wide defaults.
func (s *State) Defaults() operator.Defaults {
	return s.defaults
}

// Service returns the service with the given name.
func (s *State) Service(name string) (operator.Service, bool) {
	service, found := s.services[name]
	return service, found
}

// Services returns all services, sorted by name.
func (s *State) Services() []operator.Service {
	return byName(s.services)
}

// Organisations returns all organisations, sorted by name.
func (s *State) Organisations() []operator.Organisation {
	return byName(s.organisations)
}

// Zones returns the zones that operators have configured, sorted by name.
func (s *State) Zones() []operator.Zone {
	return byName(s.zones)
}

// Instances returns the instances that operators have configured, sorted by name.
func (s *State) Instances() []operator.Instance {
	return byName(s.instances)
}

// Exceptions returns all exceptions, sorted by name.
func (s *State) Exceptions() []operator.Exception {
	return byName(s.exceptions)
}

// ZoneOut reports whether operators have taken the zone out of service, so that
// it receives no new requests.
func (s *State) ZoneOut(zone string) bool {
	return s.zones[zone].Out
}

// Instance returns the operators' configuration of an instance, or the zero value
// if there is none.
func (s *State) Instance(name string) operator.Instance {
	return s.instances[name]
}

// LastChange returns the last change of an entity.
func (s *State) LastChange(kind operator.Kind, name string) (operator.Change, bool) {
	c, found := s.last[entity{kind, name}]
	return c, found
}

// Snapshot returns the last change of every entity, in order of revision.
func (s *State) Snapshot() []operator.Change {
	changes := slices.Collect(maps.Values(s.last))
	slices.SortFunc(changes, func(a, b operator.Change) int {
		return int(a.Revision) - int(b.Revision)
	})
	return changes
}

// Weight returns the organisation's weight: the value of its exception for that
// setting if there is one, else the default.
func (s *State) Weight(organisation string) int {
	return s.setting(organisation, operator.SettingWeight, s.defaults.Weight)
}

// MaxInFlight returns the organisation's limit on requests in flight: the value
// of its exception for that setting if there is one, else the default. 0 means no
// limit.
func (s *State) MaxInFlight(organisation string) int {
	return s.setting(organisation, operator.SettingMaxInFlight, s.defaults.MaxInFlight)
}

// setting returns the value of the organisation's exception for a setting, or the
// fallback if there is none.
func (s *State) setting(organisation string, setting operator.Setting, fallback int) int {
	for _, exception := range s.exceptions {
		if exception.Organisation == organisation && exception.Setting == setting {
			return exception.Value
		}
	}
	return fallback
}

// byName returns the values of a map sorted by key.
func byName[V any](m map[string]V) []V {
	values := make([]V, 0, len(m))
	for _, name := range slices.Sorted(maps.Keys(m)) {
		values = append(values, m[name])
	}
	return values
}
