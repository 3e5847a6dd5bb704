package permit

import "sync"

// Reservation reserves one credit of a group for one request.
type Reservation struct {
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
func (r *Reservation) OnAbort(f func()) {
	r.mu.Lock()
	r.onAbort = f
	aborted := r.aborted
	r.mu.Unlock()
	if aborted {
		f()
	}
}

func (r *Reservation) abort() {
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
func (r *Reservation) Release() {
	r.release()
}
