package permit

import "sync"

// Ticket is the right to have one request in progress at a group.
type Ticket struct {
	Group      string
	Generation uint64
	Leader     string

	release func()

	mu      sync.Mutex
	aborted bool
	onAbort func()
}

// OnAbort sets the function that runs when the request must move elsewhere.
// It runs at once if that is so already.
func (t *Ticket) OnAbort(f func()) {
	t.mu.Lock()
	t.onAbort = f
	aborted := t.aborted
	t.mu.Unlock()
	if aborted {
		f()
	}
}

func (t *Ticket) abort() {
	t.mu.Lock()
	first := !t.aborted
	t.aborted = true
	f := t.onAbort
	t.mu.Unlock()
	if first && f != nil {
		f()
	}
}

// Release gives the ticket back once the request has ended.
func (t *Ticket) Release() {
	t.release()
}
