package operator

import "time"

// Status is the status of one entry.
type Status struct {
	Entry    string
	Zone     string
	Revision uint64
	Ready    bool
	// PlatformReachable is set unless the entry's last call to the platform failed.
	PlatformReachable bool
	// SessionEpoch is the epoch of the entry's open session; 0 if there is none.
	SessionEpoch uint64
	Peers        []PeerStatus
	Groups       []GroupStatus
}

// PeerStatus is the status of a peer as observed by an entry.
type PeerStatus struct {
	Entry   string
	Zone    string
	Address string
	// Connected is set if the entry is connected to the peer and the peer has
	// recently replied to an exchange.
	Connected bool
}

// GroupStatus is the status of a replica group as observed by an entry of its
// zone.
type GroupStatus struct {
	Name       string
	Service    string
	Zone       string
	Domain     string
	Owner      string
	Generation uint64
	Members    []string
	// Credits and InFlight describe this entry's permit; Valid is set until the
	// permit expires.
	Credits  int
	InFlight int
	Valid    bool
	Cold     bool
	// Downtime is the total time that this entry observed the group as
	// incomplete.
	Downtime time.Duration
}

// InstanceStatus is the status of an instance of the platform's instance list.
type InstanceStatus struct {
	Name    string
	Address string
	Zone    string
	Domain  string
	Service string
	Group   string
	Leaving bool
	Drained bool
	Held    bool
	// Quarantined is set while the instance must wait before it may join a
	// group.
	Quarantined bool
}

// Confirmation states which revision is in force at an entry.
type Confirmation struct {
	Entry    string
	Zone     string
	Revision uint64
	// Reached is false if the entry did not respond. Revision is then unknown.
	Reached bool
}

// Configuration holds all entities at one revision.
type Configuration struct {
	Revision uint64
	// Changes holds the latest change of each entity.
	Changes  []Change
	Defaults Defaults
}
