package engine

import (
	"fmt"

	"github.com/pkg/errors"
)

var (
	// ErrNotReached means that no byte of the request reached the engine.
	ErrNotReached = errors.New("the engine was not reached")
	// ErrWrongEvent means that an event belongs to another request or is out
	// of order; the stream can't be trusted any more.
	ErrWrongEvent = errors.New("the engine sent an event that does not belong here")
	// ErrTruncated means that the stream ended before its end marker.
	ErrTruncated = errors.New("the engine's answer ended early")
	// ErrStaleGeneration means that the engine refused an old fencing token.
	ErrStaleGeneration = errors.New("the engine refused an old generation")
)

// StatusError is an engine's refusal.
type StatusError struct {
	// Status is the HTTP status code.
	Status int
	// Body is the start of the engine's error body.
	Body []byte
	// NotRun says that the engine states that it did not run the request.
	NotRun bool
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("the engine answered status %d", e.Status)
}
