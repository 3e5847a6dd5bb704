package registry

import "time"

// GroupState is where a member stands in a replica group.
type GroupState string

const (
	// Joining members load or connect.
	Joining GroupState = "joining"
	// Ready members are in place; a ready leader takes no requests.
	Ready GroupState = "ready"
	// Open leaders serve requests.
	Open GroupState = "open"
	// Closing leaders finish what they have.
	Closing GroupState = "closing"
	// Broken leaders have lost a member.
	Broken GroupState = "broken"
)

// GroupID names one life of a replica group. Its member list never changes.
type GroupID struct {
	Name  string
	Epoch int64
}

// Membership is a server's place in a replica group.
type Membership struct {
	Group GroupID
	// Rank is the server's position in the member list; 0 leads the group.
	Rank  int
	State GroupState
	// Model is what the group serves.
	Model string
}

// Server is what a backend server says of itself.
type Server struct {
	ID string
	// Born is the server's start: with the ID it names one lifetime.
	StartTime int64
	Service   string
	Address   string
	Zone      string
	Slots     int
	// Leaving servers take no new requests.
	Leaving bool
	// ColdUntil is when the server is no longer cold, by the entry's own
	// clock; zero if it is not.
	ColdUntil time.Time
	// Domain is the fabric domain that the server's instance sits in.
	Domain string
	// Staged lists the models on the instance's host, and Loaded those that
	// the server runs.
	Staged []string
	Loaded []string
	// Busy says that an order is in progress.
	Busy bool
	// Orders counts the orders of this lifetime that began something.
	OrderCount int64
	// Member is set while the server belongs to a replica group.
	Member *Membership
	// Seen is when the entry learnt of this state.
	ObservedAt time.Time
}

// Incarnation names one start of a server.
type Incarnation struct {
	ID        string
	StartTime int64
}

// Incarnation returns the server's lifetime.
func (s *Server) Incarnation() Incarnation {
	return Incarnation{s.ID, s.StartTime}
}

// Cold reports whether the server bears only a little.
func (s *Server) Cold(now time.Time) bool {
	return now.Before(s.ColdUntil)
}

// LeadsOpenGroup reports whether the server leads a group that serves.
func (s *Server) LeadsOpenGroup(model string) bool {
	m := s.Member
	return m != nil && m.Rank == 0 && m.State == Open && m.Model == model
}
