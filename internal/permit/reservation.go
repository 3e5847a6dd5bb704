package permit

import "sync"

// Ticket reserves one credit of a group for one request.
type Ticket struct {
	Group      string
	Generation uint64
	Leader     string

	release func()

	mu      sync.Mutex
	aborted bool
	onAbort func()
}

// OnAbort sets the function that runs when the request must be sent elsewhere.
// It runs immediately if the reservation was already aborted.
func (r *Ticket) OnAbort(f func()) {
	r.mu.Lock()
	r.onAbort = f
	aborted := r.aborted
	r.mu.Unlock()
	if aborted {
		f()
	}
}

func (r *Ticket) abort() {
	r.mu.Lock()
	first := !r.aborted
	r.aborted = true
	f := r.onAbort
	r.mu.Unlock()
	if first && f != nil {
		f()
	}
}

// Release returns the credit after the request has ended.
func (r *Ticket) Release() {
	r.release()
}
