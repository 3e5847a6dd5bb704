package factory

import (
	"net/http"

	"github.com/pkg/errors"

	"github.com/hibiscuspulley/hibiscuspulley/pkg/operator"
)

// ErrUnconfirmed means that a change is accepted and in force, but that not
// every entry has confirmed it.
var ErrUnconfirmed = errors.New("not every entry has confirmed the change")

// ExitCode returns the exit code for a command's error.
func ExitCode(err error) int {
	var problem *operator.Problem
	switch {
	case err == nil:
		return 0
	case errors.Is(err, ErrUnconfirmed):
		return ExitUnconfirmed
	case errors.As(err, &problem) && problem.Status == http.StatusConflict:
		return ExitConflict
	default:
		return ExitError
	}
}
