// Package decisionlog writes the gateway's log lines without blocking the
// caller. Lines that exceed a rate limit, or that a slow output can't take, are
// dropped and counted.
package decisionlog

import (
	"bytes"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// queueLength is the maximum number of lines that wait for the output.
	queueLength = 2048
	// reportInterval is how often the number of dropped lines is logged.
	reportInterval = time.Second
)

// errorLevel is in each line of the level error. JSON escapes quotes within values.
var errorLevel = []byte(`"level":"error"`)

// Writer forwards lines to an output in the background.
type Writer struct {
	lines   chan []byte
	limiter *rate.Limiter
	dropped atomic.Int64
	done    chan struct{}
	stop    chan struct{}
}

// NewWriter returns a Writer that forwards an average of at most perSecond lines
// per second, with bursts of up to perSecond lines.
func NewWriter(out io.Writer, perSecond int) *Writer {
	w := &Writer{
		lines: make(chan []byte, queueLength), limiter: rate.NewLimiter(rate.Limit(perSecond), perSecond),
		done: make(chan struct{}), stop: make(chan struct{}),
	}
	go func() {
		defer close(w.done)
		w.run(out)
	}()
	return w
}

// Write implements io.Writer. Each call queues one line or drops it, and never
// returns an error. The rate limit doesn't apply to errors, which are few.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.limiter.Allow() && !bytes.Contains(line, errorLevel) {
		w.dropped.Add(1)
		return len(line), nil
	}
	kept := append([]byte(nil), line...)
	select {
	case w.lines <- kept:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Unlimit ends the rate limit, so that only a full queue drops lines. It is called before
// the last lines of a process: callers that come back to be rejected again must not use up
// what is left for the outcomes of requests in flight.
func (w *Writer) Unlimit() { w.limiter.SetLimit(rate.Inf) }

// Dropped returns the number of lines dropped since the last report in the log.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes the waiting lines. It gives up after the given time if the
// output blocks.
func (w *Writer) Close(wait time.Duration) {
	close(w.stop)
	select {
	case <-w.done:
	case <-time.After(wait):
	}
}

func (w *Writer) run(out io.Writer) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-w.lines:
			_, _ = out.Write(line) // a failure of the log's own output can't be logged
		case <-ticker.C:
			w.report(out)
		case <-w.stop:
			w.drain(out)
			return
		}
	}
}

func (w *Writer) report(out io.Writer) {
	if n := w.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(out, "{\"event\":106,\"level\":\"warning\",\"msg\":\"log lines were dropped\",\"lines\":%d}\n", n)
	}
}

func (w *Writer) drain(out io.Writer) {
	for {
		select {
		case line := <-w.lines:
			_, _ = out.Write(line)
		default:
			w.report(out)
			return
		}
	}
}
