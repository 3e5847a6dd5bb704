package registry

import "time"

// GroupState is a member's state within its replica group.
type GroupState string

const (
	// Joining members are loading weights or connecting.
	Joining GroupState = "joining"
	// Ready members have joined. A ready leader does not serve requests yet.
	Ready GroupState = "ready"
	// Open leaders serve requests.
	Open GroupState = "open"
	// Closing leaders finish their in-flight requests and take no new ones.
	Closing GroupState = "closing"
	// Broken leaders have lost a member.
	Broken GroupState = "broken"
)

// GroupID identifies one formation of a replica group. Its member list never
// changes.
type GroupID struct {
	Name  string
	Epoch int64
}

// Membership is a server's membership of a replica group.
type Membership struct {
	Group GroupID
	// Rank is the server's position in the member list. Rank 0 is the leader.
	Rank  int
	State GroupState
	// Model is the model that the group serves, or empty while the server has no
	// model loaded.
	Model string
}

// Server is the record that a backend server publishes about itself.
type Server struct {
	ID string
	// StartTime is the start time that the server publishes. With the ID it
	// identifies one incarnation. Its unit is not interpreted; a higher value is
	// later.
	StartTime int64
	Service   string
	Address   string
	Zone      string
	// Slots is the number of requests that the server handles at once. It does
	// not apply to members of replica groups, whose service sets the number.
	Slots int
	// Leaving servers take no new requests.
	Leaving bool
	// ColdUntil is when the server stops being cold, by this process's clock.
	// It is zero if the server is not cold.
	ColdUntil time.Time
	// Domain is the fabric domain of the server's instance.
	Domain string
	// Staged lists the models whose weights are on the instance's host, and Loaded
	// the models that the server runs.
	Staged []string
	Loaded []string
	// Busy reports that an order is in progress.
	Busy bool
	// OrderCount is the number of orders that this incarnation started to carry
	// out.
	OrderCount int64
	// Member is the server's group membership, or nil.
	Member *Membership
	// ObservedAt is when this process received the record, by the clock of
	// ColdUntil.
	ObservedAt time.Time
}

// Incarnation identifies one start of a server.
type Incarnation struct {
	ID        string
	StartTime int64
}

// Incarnation returns the incarnation that wrote the record.
func (s *Server) Incarnation() Incarnation {
	return Incarnation{s.ID, s.StartTime}
}

// Cold reports whether the server is cold and takes only limited load.
func (s *Server) Cold(now time.Time) bool {
	return now.Before(s.ColdUntil)
}

// LeadsServingGroup reports whether the server leads a group that is open or still
// finishes its requests.
func (s *Server) LeadsServingGroup() bool {
	m := s.Member
	return m != nil && m.Rank == 0 && (m.State == Open || m.State == Closing)
}

// LeadsOpenGroup reports whether the server leads a group that is open and
// serves the model.
func (s *Server) LeadsOpenGroup(model string) bool {
	m := s.Member
	return m != nil && m.Rank == 0 && m.State == Open && m.Model == model
}
