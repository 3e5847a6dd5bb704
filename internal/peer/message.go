package peer

import (
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/internal/demand"
	"github.com/hibiscuspulley/hibiscuspulley/internal/permit"
	"github.com/hibiscuspulley/hibiscuspulley/internal/quarantine"
	"github.com/hibiscuspulley/hibiscuspulley/internal/quota"
)

// Exchange is the periodic message of an entry to a peer. It carries the entry's
// state and its credit requests.
type Exchange struct {
	Entry string
	Zone  string
	// Revision is the configuration revision in force at the sender.
	Revision uint64
	// CreditRequests lists requests for credits of groups that the peer owns, or
	// whose owner is unresponsive.
	CreditRequests []permit.CreditRequest
	// Usage lists the tokens that the sender has served since its last round of
	// exchanges. Usage in a lost message is not sent again.
	Usage []Usage
	// Orders lists the provisional orders known to the sender.
	Orders []Order
	// Loads lists the backend servers with requests of the sender in flight.
	Loads []Load
	// Parts tells which prompt parts crashed servers or were served lately.
	Parts quarantine.Report
	// Quota tells about the request limits of servers.
	Quota quota.Message
	// Demand is the work that the requests at the sender, and at the entries that it
	// relays for, bring. It is empty if that is not known.
	Demand []demand.Rate
}

// Load is the number of requests that an entry has in flight at one incarnation of
// a backend server.
type Load struct {
	Server string
	// StartTime identifies the incarnation, in the unit of registry.Server.
	StartTime int64
	InFlight  int
	// Stalled is true if none of the entry's streams from the server makes
	// progress. A relay sends the sums of several entries; Stalled then means that
	// one of them reports so, and Progress that the streams of another one advance.
	Stalled  bool
	Progress bool
}

// Sync is the periodic message of an entry to a relay of its availability zone. It
// asks for what has changed in the tables that the relay passes on.
type Sync struct {
	Entry string
	// Sessions holds the encoded session rows of the sender and of those that it
	// relays for, now and then. The relay renews them as long as it gets syncs.
	Sessions [][]byte
	// Versions holds the version that the sender has of each table; 0 asks for the
	// whole table.
	Versions map[string]int64
	// Roster is the fingerprint of the sender's list of live entries.
	Roster uint64
	// WantLoads asks for the loads of all other entries, and reports the sender's.
	WantLoads bool
	Loads     []Load
	Parts     quarantine.Report
	Quota     quota.Message
	Demand    []demand.Rate
}

// SyncReply is the reply to a Sync.
type SyncReply struct {
	Entry string
	// Tables holds the tables that the relay has read.
	Tables []TableUpdate
	// Roster lists the live entries if the sender's list differs; otherwise it is
	// empty.
	Roster []RosterEntry
	// Loads holds the loads of all entries but the sender, if it wants them.
	Loads []Load
	Parts quarantine.Report
	Quota quota.Message
	// Demand is the work of the zone's other entries, if the relay knows all of it and
	// the sender wants loads.
	Demand []demand.Rate
}

// TableUpdate holds the rows of one table that changed after the sender's version.
type TableUpdate struct {
	Table   string
	Version int64
	// Full means that Rows is the whole table.
	Full bool
	// Age is how long before the reply the relay's copy included every change.
	Age  time.Duration
	Rows []TableRow
}

// TableRow is a row of a table.
type TableRow struct {
	Key     string
	Value   []byte
	Version int64
	Deleted bool
}

// RosterEntry is a live entry.
type RosterEntry struct {
	Name     string
	Zone     string
	Address  string
	Strength float64
}

// Order is a provisional order: a configuration change that is not recorded in the
// platform's table yet.
type Order struct {
	Number uint64
	// Change is the change as encoded by package config.
	Change []byte
}

// Usage is the number of tokens of a service that were served to an organisation.
type Usage struct {
	Service      string
	Organisation string
	Tokens       int64
}

// ExchangeReply is the reply to an Exchange.
type ExchangeReply struct {
	Entry    string
	Zone     string
	Revision uint64
	// Ready is true if the peer accepts requests from callers.
	Ready  bool
	Grants []permit.Grant
	Orders []Order
	Loads  []Load
	Parts  quarantine.Report
	Quota  quota.Message
	Demand []demand.Rate
}

// ConfigPull requests the configuration changes that follow a revision.
type ConfigPull struct {
	After uint64
}

// ConfigReply carries encoded changes. If Snapshot is set, they are the last change
// of every entity at Revision, else the changes that follow the requested revision.
type ConfigReply struct {
	Revision uint64
	Snapshot bool
	Changes  [][]byte
}

// Relay requests that a peer write a session row on behalf of an entry that can't
// reach the platform.
type Relay struct {
	Key   string
	Value []byte
	// Version is the version that the row must have; 0 means that the row must not
	// exist.
	Version int64
}

// RelayReply is the outcome of a relayed write.
type RelayReply struct {
	// PlatformReached is true if the platform replied to the peer.
	PlatformReached bool
	// Succeeded is true if the row had the expected version and was written.
	Succeeded bool
	// Version is the version of the written row if Succeeded is true.
	Version int64
}

// Request is a request to a peer. Exactly one field is set.
type Request struct {
	Exchange   *Exchange
	ConfigPull *ConfigPull
	Relay      *Relay
	Sync       *Sync
}

// Reply is the reply to a Request. The field that matches the request is set. No
// field is set if the peer does not handle the request.
type Reply struct {
	Exchange *ExchangeReply
	Config   *ConfigReply
	Relay    *RelayReply
	Sync     *SyncReply
}
