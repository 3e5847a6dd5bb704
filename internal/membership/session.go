package membership

// State is the state of a session.
type State string

const (
	// Live is the state of a session that its holder renews.
	Live State = "live"
	// Closed is the state after the holder ended the session in an orderly shutdown.
	Closed State = "closed"
	// Lapsed is the state after a contender ended a session that was not renewed.
	Lapsed State = "lapsed"
)

// Session is an entry's row in the platform's table.
type Session struct {
	Entry string
	Zone  string
	// Address is the address at which the entry serves its peers.
	Address string
	// Strength is the entry's share of processor time; 0 means unknown.
	Strength float64
	// Incarnation identifies one run of the entry's process.
	Incarnation string
	// Epoch numbers the sessions that were opened under this entry name.
	Epoch uint64
	// Counter is 1 in the row that opens the session. Each renewal, and the row
	// that closes the session, adds 1.
	Counter uint64
	State   State
	// WriteID is a unique ID of this write of the row.
	WriteID string
	// Era is the store's era in which the writer learned what the row replaces. It is
	// always 0 for stores that don't come back from older copies.
	Era int64
}

// Row is a session and the version of its table row.
type Row struct {
	Session
	Version int64
}

// KeyPrefix is the common prefix of the keys of all session rows.
const KeyPrefix = "session/"

// Key returns the key of the entry's session row.
func Key(zone, entry string) string {
	return KeyPrefix + zone + "/" + entry
}
