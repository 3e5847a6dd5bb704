package formation

import "github.com/hibiscuspulley/hibiscuspulley/internal/registry"

// Operation is the kind of an order to a backend server.
type Operation string

const (
	// Join makes a server a member of a group and replaces its membership.
	Join Operation = "join"
	// Open makes a ready leader serve requests.
	Open Operation = "open"
	// Close makes a leader finish its in-flight requests and return to ready.
	Close Operation = "close"
	// Leave ends a membership immediately.
	Leave Operation = "leave"
	// Stage loads a model's weights onto the server's host.
	Stage Operation = "stage"
)

// Order is a command to a backend server.
type Order struct {
	Server    string
	Operation Operation
	Group     registry.GroupID
	Model     string
	// Members lists the IDs of the group's members, the leader first.
	Members []string
}

// Outcome is the result of sending an order to a server.
type Outcome int

const (
	// Unknown means that the order may be carried out, possibly much later.
	Unknown Outcome = iota
	// Begun means that the server is carrying out the order.
	Begun
	// Done means that the server is already in the ordered state.
	Done
	// Conflict means that the order is invalid in the server's current state.
	Conflict
	// Outdated means that the order's epoch is lower than one that the server has
	// already seen.
	Outdated
	// OtherServer means that the address now belongs to another server.
	OtherServer
)

// String returns the name of the outcome as it appears in log lines.
func (o Outcome) String() string {
	return [...]string{"unknown", "begun", "done", "misfit", "outdated", "other-server"}[o]
}
