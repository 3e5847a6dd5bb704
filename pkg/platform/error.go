package platform

import "github.com/pkg/errors"

var (
	// ErrUnavailable means that a read failed, or that a write was not run.
	ErrUnavailable = errors.New("the platform is unavailable")

	// ErrUnknownOutcome means that a write was sent and its response was lost:
	// it may have taken effect or may still take effect.
	ErrUnknownOutcome = errors.New("the outcome of the write is unknown")
)
