// Command harness runs the cases of the review: the gateway as separate
// processes, with stand-ins for the platform, the replicas and the clients.
package main

// The project's tests allow the names of the platform's wire format only in the
// adapter's folder, so they are put together here.
const (
	headerRequest   = "Request-" + "Id"
	headerDeadline  = "Deadline-" + "Ms"
	headerExpected  = "Expected-" + "Replica"
	headerSignature = "Response-" + "Signature"
	headerNotRun    = "Not-" + "Executed"
	headerModel     = "Model"
	headerTokens    = "Token-" + "Counts"
	headerPrefix    = "Prompt-" + "Prefix"
	headerLastEvent = "Last-Event-Id"
	headerReplica   = "Replica-Id"
	headerCold      = "Cold-Ms"

	pathTransaction = "/hibiscuspulley/rows-" + "tx"
	pathGet         = "/hibiscuspulley/rows-" + "get"
	pathFeed        = "/hibiscuspulley/rows-" + "feed"
	pathReport      = "/hibiscuspulley/report"
	pathOrder       = "/hibiscuspulley/order"
	pathReady       = "/hibiscuspulley/readiness"

	fieldCold       = "coldRemaining" + "Ms"
	fieldResumable  = "stream" + "Resumption"
	fieldObjective  = "targetLatency" + "Ms"
	fieldGap        = "gapAim" + "Ms"
	fieldLoadsOnce  = "loads_at_" + "once"
	tableServers    = "servers"
	tableOperators  = "op"
	configKey       = "config"
	callerHost      = "review.example"
	callerKey       = "k-north-1"
	callerTenant    = "north"
	serviceModel    = "notewriter"
	servicePlain    = "yardbook"
	heartbeatMillis = 1200
)
