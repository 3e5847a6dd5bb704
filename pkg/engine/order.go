package engine

// Order tells an engine which replica group it belongs to.
type Order struct {
	// Group names the replica group; empty releases the engine.
	Group string
	// Generation is the group's fencing token. An engine that checks fencing
	// refuses an order with a lower one.
	Generation uint64
	// Rank is the member's place in the group; rank 0 answers requests.
	Rank int
	// Members lists the addresses of all members by rank.
	Members []string
	// Model names the model to load.
	Model string
}

type orderWire struct {
	Group      string   `json:"group"`
	Generation uint64   `json:"generation"`
	Rank       int      `json:"rank"`
	Members    []string `json:"members"`
	Model      string   `json:"model"`
}

func encodeOrder(o Order) orderWire {
	return orderWire{
		Group:      o.Group,
		Generation: o.Generation,
		Rank:       o.Rank,
		Members:    o.Members,
		Model:      o.Model,
	}
}
