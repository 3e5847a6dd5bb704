package engine

import (
	"fmt"

	"github.com/pkg/errors"
)

var (
	// ErrNotReached means that no byte of the request reached the engine.
	ErrNotReached = errors.New("the engine could not be reached")
	// ErrWrongEvent means that an event belongs to another request or is out
	// of order; the rest of the stream can't be trusted.
	ErrWrongEvent = errors.New("the engine sent an event of another request or out of order")
	// ErrTruncated means that the stream ended or timed out without an end marker.
	ErrTruncated = errors.New("the engine's response ended without an end marker")
	// ErrStaleGeneration means that the engine rejected a stale fencing token.
	ErrStaleGeneration = errors.New("the engine rejected a stale generation")
)

// StatusError is a response with an error status from an engine.
type StatusError struct {
	// Status is the HTTP status code.
	Status int
	// Body is the start of the response body, of at most 4 KiB. Only Generate sets
	// it.
	Body []byte
	// NotRun is set by Generate if the engine reported that it did not run the
	// request.
	NotRun bool
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("the engine returned status %d", e.Status)
}
