package quota

import "time"

// Message is what two entries tell each other about limits, with the other messages
// that they exchange.
type Message struct {
	// WantAll asks for all statements instead of the recent changes.
	WantAll    bool
	Statements []Statement
	// Demands asks the other entry for grants, Grants are for this one's demands.
	Demands []Demand
	Grants  []Grant
	// Backlogs tells how long requests of the demanded pools wait for grants.
	Backlogs []Backlog
}

// Backlog is the time in which the zone's servers with limits take the requests of a
// pool that wait in the zone.
type Backlog struct {
	Pool
	Wait time.Duration
}
