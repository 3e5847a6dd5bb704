package formation

import "github.com/hibiscuspulley/hibiscuspulley/internal/registry"

// Operation is what an order asks of a backend server.
type Operation string

const (
	// Join makes a server a member of a group, replacing its membership.
	Join Operation = "join"
	// Open makes a ready leader serve.
	Open Operation = "open"
	// Close makes a leader finish its requests and return to ready.
	Close Operation = "close"
	// Leave ends a membership at once.
	Leave Operation = "leave"
	// Stage loads a model's weights onto the host.
	Stage Operation = "stage"
)

// Order is one order to a backend server.
type Order struct {
	Server    string
	Operation Operation
	Group     registry.GroupID
	Model     string
	// Members are the IDs of a group's members; the first one leads.
	Members []string
}

// Outcome is what a server made of an order.
type Outcome int

const (
	// Unknown orders may be carried out, also much later.
	Unknown Outcome = iota
	// Begun orders are in progress.
	Begun
	// Done means that the state already holds.
	Done
	// Misfit orders don't fit the server's state.
	Conflict
	// Outdated orders carry an epoch below one that the server has seen.
	Outdated
	// OtherServer means that another server has the address now.
	OtherServer
)

// String returns the outcome's name in log lines.
func (o Outcome) String() string {
	return [...]string{"unknown", "begun", "done", "misfit", "outdated", "other-server"}[o]
}
