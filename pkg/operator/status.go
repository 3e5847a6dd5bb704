package operator

import "time"

// Status is what one entry says of itself.
type Status struct {
	Entry    string
	Zone     string
	Revision uint64
	Ready    bool
	// PlatformReachable says whether the platform answered the last call.
	PlatformReachable bool
	// SessionEpoch is the entry's open session, 0 without one.
	SessionEpoch uint64
	Peers        []PeerStatus
	Groups       []GroupStatus
}

// PeerStatus is what an entry knows of a peer.
type PeerStatus struct {
	Entry     string
	Zone      string
	Address   string
	Connected bool
}

// GroupStatus is what an entry knows of a replica group of its zone.
type GroupStatus struct {
	Name       string
	Service    string
	Zone       string
	Domain     string
	Owner      string
	Generation uint64
	Members    []string
	// Credits and InFlight are this entry's permit; Valid says that the permit
	// has not run out.
	Credits  int
	InFlight int
	Valid    bool
	Cold     bool
	// Downtime is how long the group was incomplete while this entry watched.
	Downtime time.Duration
}

// InstanceStatus is one instance of the platform's list.
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
	// Quarantined says that the instance waits before it joins a group.
	Quarantined bool
}

// Confirmation says which revision is in force at an entry.
type Confirmation struct {
	Entry    string
	Zone     string
	Revision uint64
	// Reached is false for an entry that did not answer.
	Reached bool
}

// Configuration is all entities at one revision.
type Configuration struct {
	Revision uint64
	// Changes holds the change that wrote each entity last.
	Changes  []Change
	Defaults Defaults
}
