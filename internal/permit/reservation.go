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
// OnAbort calls f itself if the reservation was already aborted. Otherwise f is
// called with the Holder locked, so it must not call Release or the Holder.
func (r *Reservation) OnAbort(f func()) {
	r.mu.Lock()
	r.onAbort = f
	aborted := r.aborted
	r.mu.Unlock()
	if aborted {
		f()
	}
}

// abort calls the function set by OnAbort, the first time that it is called.
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

// Release returns the credit after the request has ended. Only the first call
// has an effect.
func (r *Reservation) Release() {
	r.release()
}
