// Package decisionlog writes log lines without ever holding up the caller:
// lines beyond a rate, or beyond what a slow output takes, are dropped and
// counted.
package decisionlog

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// queueLength bounds the lines that wait for the output.
	queueLength = 2048
	// reportEvery is how often dropped lines are told.
	reportEvery = time.Second
)

// Writer passes lines on to an output in the background.
type Writer struct {
	lines   chan []byte
	limiter *rate.Limiter
	dropped atomic.Int64
	done    chan struct{}
	stop    chan struct{}
}

// NewWriter returns a Writer that passes on so many lines a second at most.
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

// Write implements io.Writer. It takes one line and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.limiter.Allow() {
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

// Dropped returns how many lines were dropped and not told yet.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes what waits, unless the output is stuck for longer than the time.
func (w *Writer) Close(wait time.Duration) {
	close(w.stop)
	select {
	case <-w.done:
	case <-time.After(wait):
	}
}

func (w *Writer) run(out io.Writer) {
	ticker := time.NewTicker(reportEvery)
	defer ticker.Stop()
	for {
		select {
		case line := <-w.lines:
			_, _ = out.Write(line) // there is nowhere to tell that the log's output fails
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
