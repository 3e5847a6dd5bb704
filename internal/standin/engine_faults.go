package standin

// EngineFaults are an engine's settable faults.
type EngineFaults struct {
	// Dead drops every connection, as a machine that has died does.
	Dead bool `json:"dead"`
	// Paused answers nothing until it is cleared; tokens stand still.
	Paused bool `json:"paused"`
	// Slow multiplies the time per token; 0 and 1 mean normal speed.
	Slow int `json:"slow"`
	// Leaving marks the engine as shutting down.
	Leaving bool `json:"leaving"`
	// CutAfter breaks each answer's connection after this many tokens.
	CutAfter int `json:"cut-after"`
	// Forget makes a cut answer impossible to resume.
	RejectResume bool `json:"forget"`
	// CrossAnswers sends events with the id of another request.
	CrossResponses bool `json:"cross-answers"`
}

// EngineCounts counts what the promises speak of.
type EngineCounts struct {
	// Requests counts generation requests received.
	Requests int64 `json:"requests"`
	// ColdLimitExceeded counts requests beyond what a cold engine can bear.
	ColdLimitExceeded int64 `json:"cold-limit-exceeded"`
	// SentToIncompleteGroup counts requests that arrived while a member had
	// been missing for longer than the grace time.
	SentToIncompleteGroup int64 `json:"sent-to-incomplete-group"`
	// SentToZoneOut counts requests that arrived while the zone had been out
	// for longer than the grace time.
	SentToZoneOut int64 `json:"sent-to-zone-out"`
	// SentToLeaving counts requests that arrived while a member had been
	// leaving for longer than the grace time.
	SentToLeaving int64 `json:"sent-to-leaving"`
	// StaleOrders counts orders with a lower generation than the last one.
	StaleOrders int64 `json:"stale-orders"`
	// TokensPrefilled counts prompt tokens that were not in the cache.
	TokensPrefilled int64 `json:"tokens-prefilled"`
}
