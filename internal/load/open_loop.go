package load

import (
	"context"
	"sync"
	"time"
)

// OpenLoop calls start at a steady rate per second for the duration, without
// waiting for the calls before, and then waits for all of them. The call's
// number counts from 0.
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
