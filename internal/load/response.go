package load

import (
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/pkg/caller"
)

// Response is the result of one request, as a caller observes it.
type Response struct {
	// Status is the HTTP status code, 0 if there was no HTTP response.
	Status int
	// Run is the run state from the response header.
	Run caller.RunState
	// Text is the generated text.
	Text string
	// Complete is set if the end marker was received.
	Complete bool
	Tokens   int
	// FirstToken is the time until the first token, Total until the end.
	FirstToken time.Duration
	Total      time.Duration
	// TokenGaps holds the times between consecutive tokens.
	TokenGaps []time.Duration
	// Err is the error that ended the request, if any.
	Err error
}

// Rejected reports whether the request was rejected without having run.
func (r Response) Rejected() bool {
	return !r.Complete && r.Run == caller.NotRun
}
