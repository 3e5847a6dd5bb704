package permit

import "sync"

// Ticket is the right to have one request in progress at a group.
type Ticket struct {
	Group      string
	Generation uint64
	Leader     string
	// Aborted is closed when the request must move elsewhere.
	Aborted <-chan struct{}

	abort   chan struct{}
	once    *sync.Once
	release func()
}

func (t *Ticket) cancel() {
	t.once.Do(func() { close(t.abort) })
}

// Release gives the ticket back once the request has ended.
func (t *Ticket) Release() {
	t.release()
}
