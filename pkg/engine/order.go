package engine

// Order assigns an engine to a replica group or releases it.
type Order struct {
	// Group names the replica group; empty releases the engine.
	Group string
	// Generation is the group's fencing token. An engine that checks fencing
	// rejects an order with a lower generation than its own.
	Generation uint64
	// Rank is the member's index in the group; rank 0 serves requests.
	Rank int
	// Members holds the addresses of all members in order of rank.
	Members []string
	// Model is the name of the model to load.
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
