package entry

import "context"

// turn lets one goroutine at a time do work that waits for the network. Unlike
// with a mutex, others give up waiting when their context ends.
type turn chan struct{}

func newTurn() turn {
	return make(turn, 1)
}

// take waits for the turn. It returns false when ctx ends first.
func (t turn) take(ctx context.Context) bool {
	select {
	case t <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// give lets the next goroutine have its turn.
func (t turn) give() {
	<-t
}
