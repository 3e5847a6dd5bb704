package entry

import "context"

// turn is a mutex whose lock operation can be cancelled through a context. It
// guards work that includes network calls.
type turn chan struct{}

func newContextMutex() turn {
	return make(turn, 1)
}

// lock locks the mutex. It returns false if ctx ends first.
func (t turn) lock(ctx context.Context) bool {
	select {
	case t <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// unlock unlocks the mutex.
func (t turn) unlock() {
	<-t
}
