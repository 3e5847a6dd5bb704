// Package demo runs a whole fleet in one process under a mixed load with injected
// faults, and reports the results on the callers' side.
package demo

import "time"

// Result holds the counts and latencies of a run, as measured by callers and
// stand-ins.
type Result struct {
	Requests          int
	CompleteResponses int
	RejectedNotRun    int
	Failed            int
	// WrongResponses counts complete responses with an unexpected text.
	WrongResponses int
	Records        int
	// RanTwice counts records that ran more than once.
	RanTwice int
	// LostRecords counts records that were confirmed but did not run.
	LostRecords int
	// FalseNotRun counts records that ran although the response said not-run.
	FalseNotRun int
	// UnknownRecords counts records whose response said may-have-run.
	UnknownRecords        int
	FirstTokenP95         time.Duration
	BetweenTokensP95      time.Duration
	ColdLimitExceeded     int64
	SentToIncompleteGroup int64
	SentToZoneOut         int64
}

// InvariantsHeld reports whether callers received complete responses and no
// invariant was violated.
func (r Result) InvariantsHeld() bool {
	return r.CompleteResponses > 0 && r.WrongResponses == 0 && r.RanTwice == 0 &&
		r.LostRecords == 0 && r.FalseNotRun == 0 && r.ColdLimitExceeded == 0 &&
		r.SentToIncompleteGroup == 0 && r.SentToZoneOut == 0
}
