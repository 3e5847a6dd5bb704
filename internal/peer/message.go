package peer

import (
	"github.com/hibiscuspulley/hibiscuspulley/internal/permit"
)

// Exchange is what an entry regularly tells and asks a peer.
type Exchange struct {
	Entry string
	Zone  string
	// Revision is the configuration revision in force at the sender.
	Revision uint64
	// Demands asks for permits of groups that the peer watches.
	CreditRequests []permit.CreditRequest
	// Usage lists the tokens that the sender served since its last exchange.
	Usage []Usage
	// Orders lists the provisional orders that the sender knows.
	Orders []Order
	// Loads lists the backend servers that hold requests of the sender.
	Loads []Load
}

// Load is what an entry has in flight at a lifetime of a backend server.
type Load struct {
	Server    string
	StartTime int64
	InFlight  int
	// Stalled says that none of the entry's streams there advances.
	Stalled bool
}

// Order is an order that the platform's table does not hold yet.
type Order struct {
	Number uint64
	// Change is the encoded change.
	Change []byte
}

// Usage is what an organisation was served of one service.
type Usage struct {
	Service      string
	Organisation string
	Tokens       int64
}

// ExchangeReply is the answer to an Exchange.
type ExchangeReply struct {
	Entry    string
	Zone     string
	Revision uint64
	// Ready says that the peer takes callers' requests.
	Ready  bool
	Grants []permit.Grant
	Orders []Order
	Loads  []Load
}

// ConfigPull asks for the configuration changes behind a revision.
type ConfigPull struct {
	After uint64
}

// ConfigReply carries encoded changes. With Snapshot they are the last change
// of every entity at Revision, else the changes behind the one asked for.
type ConfigReply struct {
	Revision uint64
	Snapshot bool
	Changes  [][]byte
}

// Relay asks a peer to write a session row for an entry that can't reach the
// platform.
type Relay struct {
	Key     string
	Value   []byte
	Version int64
}

// RelayReply says what became of a relayed write.
type RelayReply struct {
	// Reached says that the platform answered the peer.
	PlatformReached bool
	Succeeded       bool
	Version         int64
}

// Request is one call to a peer; exactly one field is set.
type Request struct {
	Exchange   *Exchange
	ConfigPull *ConfigPull
	Relay      *Relay
}

// Reply is the answer to a Request; the matching field is set.
type Reply struct {
	Exchange *ExchangeReply
	Config   *ConfigReply
	Relay    *RelayReply
}
