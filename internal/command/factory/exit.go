package factory

import (
	"net/http"

	"github.com/pkg/errors"

	"github.com/hibiscuspulley/hibiscuspulley/pkg/operator"
)

// ErrUnconfirmed is returned if a change was accepted but some entries did not
// confirm within the wait timeout that it is in force.
var ErrUnconfirmed = errors.New("the change was accepted, but not every entry has confirmed it in time")

// ExitCode returns the process exit code for a command's error.
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
