package routes

import (
	"net"
	"slices"
	"strings"
)

// Table indexes a configuration for look-ups. It is immutable. It shares the
// slices of the configuration, so the caller must not change them either.
type Table struct {
	Config Config

	// hosts holds the routes of each host, the longest prefix first.
	hosts    map[string][]*Route
	services map[string]*Service
	// keys holds the organisation of each key.
	keys map[string]*Organisation
}

// NewTable indexes a configuration.
func NewTable(c Config) *Table {
	t := &Table{
		Config:   c,
		hosts:    make(map[string][]*Route),
		services: make(map[string]*Service, len(c.Services)),
		keys:     make(map[string]*Organisation),
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
	}
	for _, list := range t.hosts {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Organisations {
		o := &c.Organisations[i]
		for _, key := range o.Keys {
			t.keys[key] = o
		}
	}
	return t
}

// Route returns the host's route with the longest prefix of the path, or nil. A
// port in host is ignored. Prefixes are compared by characters, not by path
// segments.
func (t *Table) Route(host, path string) *Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns the service with the name, or nil.
func (t *Table) Service(name string) *Service {
	return t.services[name]
}

// Organisation returns the organisation with the key, or nil.
func (t *Table) Organisation(key string) *Organisation {
	if key == "" {
		return nil
	}
	return t.keys[key]
}

// NeedsKey reports whether requests of the route must carry a key: the route is
// not public, and the configuration is not keyless.
func (t *Table) NeedsKey(r *Route) bool {
	return !r.Public && !t.Config.Keyless
}

// Pick selects a service by the weights of the split. point is a random number
// that is uniform in [0, 1). Pick returns "" for an empty split, and the last
// service if all weights are 0.
func (r *Route) Pick(point float64) string {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	remaining := point * float64(total)
	for _, s := range r.Split {
		remaining -= float64(s.Weight)
		if remaining < 0 {
			return s.Service
		}
	}
	if len(r.Split) == 0 {
		return ""
	}
	return r.Split[len(r.Split)-1].Service
}
