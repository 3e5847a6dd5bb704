package load

import (
	"context"
	"sync"
	"time"
)

// OpenLoop calls start in new goroutines for the duration d, at a constant rate
// per second, without waiting for earlier calls to return. It then waits for all
// calls. n is the number of the call, starting at 0.
func OpenLoop(ctx context.Context, rate float64, d time.Duration, start func(n int)) {
	if rate <= 0 {
		return
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	begin := time.Now()
	for n := 0; ; n++ {
		due := time.Duration(float64(n) / rate * float64(time.Second))
		if due >= d {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(begin.Add(due))):
		}
		wg.Go(func() { start(n) })
	}
}
