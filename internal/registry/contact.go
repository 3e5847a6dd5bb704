package registry

import "time"

const (
	// contactWindow is the time within which records that go count as gone at one
	// moment. Records last for three heartbeats of 1.2 s, so those of servers that
	// lose the store together expire within one heartbeat.
	contactWindow = 1500 * time.Millisecond
	// minContactLosses and contactShare are the number and the share of the zone's
	// servers from which records that go at one moment mean that the contact with
	// the store was lost. Servers that leave do so in ones and twos.
	minContactLosses = 3
	contactShare     = 0.05
)

// LostContact reports whether the server's record went together with so many others
// of its zone that their contact with the store was probably lost, rather than the
// servers. It also returns how many records went within contactWindow. Servers that announced
// that they leave don't count.
func (v *View) LostContact(id string) (int, bool) {
	s, at := v.Removed[id], v.RemovedAt[id]
	if s == nil || s.Leaving {
		return 0, false
	}
	servers := 0
	for _, other := range v.Servers {
		if other.Zone == s.Zone {
			servers++
		}
	}
	var near []time.Time
	for otherID, other := range v.Removed {
		if goneAt := v.RemovedAt[otherID]; other.Zone == s.Zone && !other.Leaving && goneAt.Sub(at).Abs() <= contactWindow {
			near = append(near, goneAt)
		}
	}
	gone := 0
	for _, from := range near {
		n := 0
		for _, t := range near {
			if !from.After(at) && !t.Before(from) && t.Sub(from) <= contactWindow {
				n++
			}
		}
		gone = max(gone, n)
	}
	return gone, gone >= minContactLosses && float64(gone) > contactShare*float64(servers+gone)
}
