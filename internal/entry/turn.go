package entry

import "context"

// contextMutex is a mutex whose lock operation can be cancelled through a context. It
// guards work that includes network calls.
type contextMutex chan struct{}

func newContextMutex() contextMutex {
	return make(contextMutex, 1)
}

// lock locks the mutex. It returns false if ctx ends first.
func (t contextMutex) lock(ctx context.Context) bool {
	select {
	case t <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// unlock unlocks the mutex.
func (t contextMutex) unlock() {
	<-t
}
