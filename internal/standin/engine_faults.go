package standin

// EngineFaults are the faults that an Engine injects.
type EngineFaults struct {
	// Dead aborts every request, like a crashed instance.
	Dead bool `json:"dead"`
	// Paused blocks all requests and token generation until it is cleared.
	Paused bool `json:"paused"`
	// Slow is a factor for the time per token; 0 and 1 mean normal speed.
	Slow int `json:"slow"`
	// Leaving reports the engine as shutting down in health responses.
	Leaving bool `json:"leaving"`
	// CutAfter aborts the connection of one response after this many tokens; 0
	// disables it. The engine resets it to 0 then.
	CutAfter int `json:"cut-after"`
	// RejectResume rejects requests to resume a response with status 404.
	RejectResume bool `json:"forget"`
	// CrossResponses replaces event 1 of each response by one with the ID and text
	// of another request.
	CrossResponses bool `json:"cross-answers"`
}

// EngineCounts counts requests and violations of invariants.
type EngineCounts struct {
	// Requests counts generation requests received.
	Requests int64 `json:"requests"`
	// ColdLimitExceeded counts requests beyond EngineSpeed.ColdLimit that a cold
	// engine received.
	ColdLimitExceeded int64 `json:"cold-limit-exceeded"`
	// SentToIncompleteGroup counts requests that arrived while a member had
	// been missing for longer than propagationGrace.
	SentToIncompleteGroup int64 `json:"sent-to-incomplete-group"`
	// SentToZoneOut counts requests handled while the zone had been out of
	// service for longer than zonePropagationGrace.
	SentToZoneOut int64 `json:"sent-to-zone-out"`
	// SentToLeaving counts requests handled while the engine had been leaving for
	// longer than zonePropagationGrace.
	SentToLeaving int64 `json:"sent-to-leaving"`
	// StaleOrders counts role orders with a lower generation than the current one.
	StaleOrders int64 `json:"stale-orders"`
	// TokensPrefilled counts prompt tokens that were not in the cache.
	TokensPrefilled int64 `json:"tokens-prefilled"`
}
