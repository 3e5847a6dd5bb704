// Package demo shows the system at work: a whole fleet in one process, a mixed
// load, faults, and what callers saw.
package demo

import "time"

// Result is what callers and stand-ins saw.
type Result struct {
	Requests          int
	CompleteResponses int
	RejectedNotRun    int
	Failed            int
	// WrongAnswers counts answers that looked whole and were not.
	WrongResponses int
	Records        int
	// RanTwice counts records that ran more than once.
	RanTwice int
	// LostRecords counts records that were confirmed and did not run.
	LostRecords int
	// FalseNotRun counts records that ran although the reply said not-run.
	FalseNotRun int
	// UnknownRecords counts replies that said may-have-run.
	UnknownRecords        int
	FirstTokenP95         time.Duration
	BetweenTokensP95      time.Duration
	ColdLimitExceeded     int64
	SentToIncompleteGroup int64
	SentToZoneOut         int64
}

// InvariantsHeld reports whether every promise that the demo checks held.
func (r Result) InvariantsHeld() bool {
	return r.CompleteResponses > 0 && r.WrongResponses == 0 && r.RanTwice == 0 &&
		r.LostRecords == 0 && r.FalseNotRun == 0 && r.ColdLimitExceeded == 0 &&
		r.SentToIncompleteGroup == 0 && r.SentToZoneOut == 0
}
