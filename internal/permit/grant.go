package permit

import "time"

// CreditRequest is an entry's request for credits of one group.
type CreditRequest struct {
	Entry string
	Group string
	// Want is the number of concurrent requests that the entry would like to
	// send.
	Want int
	// InFlight is the number of requests that the entry has in flight.
	InFlight int
	// AppliedSeq is the sequence number of the last grant that the entry applied.
	AppliedSeq uint64
}

// Grant is the response to a CreditRequest.
type Grant struct {
	Group string
	// Generation is the group's generation for which the lender probed the
	// members.
	Generation uint64
	// Leader is the address of the member that serves the group's requests.
	Leader string
	// Seq numbers the grants of one Lender to one entry.
	Seq uint64
	// Credits is the maximum number of requests that the entry may have in flight
	// at the group.
	Credits int
	// TTL is the validity of the grant, counted from before the entry sent its
	// request.
	TTL time.Duration
	// Cold reports whether requests under the grant must end when it expires.
	Cold bool
}

// Revocation invalidates the permit of a group immediately.
type Revocation struct {
	Group string
	// Generation is the highest generation of a permit that is invalidated.
	Generation uint64
	// Abort reports whether requests in flight must be aborted and sent
	// elsewhere. If it is false, only new requests stop and those in flight may
	// finish, unless the permit is cold.
	Abort bool
}
