package load

import (
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/pkg/caller"
)

// Response is what a caller saw of one request.
type Response struct {
	// Status is the HTTP status code, 0 without a reply.
	Status int
	// Run is the reply's run header.
	Run caller.RunState
	// Text is the answer's text.
	Text string
	// Whole says that the end marker came.
	Complete bool
	Tokens   int
	// FirstToken is the time to the first token, Total to the end.
	FirstToken time.Duration
	Total      time.Duration
	// Gaps lists the times between tokens.
	TokenGaps []time.Duration
	// Err is what went wrong.
	Err error
}

// Rejected reports whether the request was refused without having run.
func (a Response) Rejected() bool {
	return !a.Complete && a.Run == caller.NotRun
}
