package permit

import "time"

// Demand is what an entry asks of the granting side of a group.
type Demand struct {
	Entry string
	Group string
	// Want is how many requests the entry would like to have in progress.
	Want int
	// InFlight is how many it has in progress.
	InFlight int
	// Applied is the sequence number of the last grant that it took over.
	Applied uint64
}

// Grant is the answer to a Demand.
type Grant struct {
	Group string
	// Generation is the group's generation that the evidence speaks of.
	Generation uint64
	// Leader is the address that answers the group's requests.
	Leader string
	// Seq numbers the grants of one Lender to one entry.
	Seq uint64
	// Credits is how many requests the entry may have in progress.
	Credits int
	// Remaining is how long the grant is valid, from before the entry asked.
	Remaining time.Duration
	// Cold says that requests under the grant must end with it.
	Cold bool
}

// Revocation ends a group's permits at once.
type Revocation struct {
	Group      string
	Generation uint64
	// Abort says that requests in progress must move elsewhere; else they may
	// finish and only new work stops.
	Abort bool
}
