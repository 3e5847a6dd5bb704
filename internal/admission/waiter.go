package admission

import "time"

// Waiter is a request that waits for a replica group.
type Waiter struct {
	Organisation string
	// Weight is the organisation's share of a busy service.
	Weight int
	// Priority orders one organisation's requests; lower goes first.
	Priority int
	// Cost is how many tokens the request is expected to be served.
	Cost float64
	// Retry marks a request that has waited before; it goes first.
	Retry bool
	// Try attempts to start the request and reports whether it did.
	TryStart func(now time.Time) bool
	// Shed tells the request that it lost its place to another one.
	Shed func()

	arrival uint64
	left    bool
}
