package platform

import "github.com/pkg/errors"

var (
	// ErrUnavailable means that a read failed, that a transaction was not run, or
	// that writing an object failed, in which case it may have been stored.
	ErrUnavailable = errors.New("the platform is unavailable")

	// ErrUnknownOutcome means that a transaction was sent and its response was
	// lost: it may have taken effect or may still take effect.
	ErrUnknownOutcome = errors.New("the outcome of the write is unknown")
)
