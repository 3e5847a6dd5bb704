package quota

// Message is what two entries tell each other about limits, with the other messages
// that they exchange.
type Message struct {
	// WantAll asks for all limits instead of the recent changes.
	WantAll bool
	Limits  []Limit
	// Demands asks the other entry for grants, Grants are for this one's demands.
	Demands []Demand
	Grants  []Grant
}
