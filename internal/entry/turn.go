package entry

import "context"

// contextMutex lets one goroutine at a time do work that waits for the network. Unlike
// with a mutex, others give up waiting when their context ends.
type contextMutex chan struct{}

func newContextMutex() contextMutex {
	return make(contextMutex, 1)
}

// lock waits for the turn. It returns false when ctx ends first.
func (t contextMutex) lock(ctx context.Context) bool {
	select {
	case t <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// unlock lets the next goroutine have its turn.
func (t contextMutex) unlock() {
	<-t
}
