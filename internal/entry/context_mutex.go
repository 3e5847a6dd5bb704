package entry

import "context"

// contextMutex is a mutex whose lock operation can be cancelled through a
// context. It guards work that includes network calls.
type contextMutex chan struct{}

func newContextMutex() contextMutex {
	return make(contextMutex, 1)
}

// lock waits for the mutex and locks it. It returns false if ctx ends first.
func (m contextMutex) lock(ctx context.Context) bool {
	select {
	case m <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (m contextMutex) unlock() {
	<-m
}
