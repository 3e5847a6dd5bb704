package membership

// State is the state of a session.
type State string

const (
	// Live means that the holder renews the session.
	Live State = "live"
	// Closed means that the holder gave the session up in order.
	Closed State = "closed"
	// Lapsed means that a contender found the holder silent.
	Lapsed State = "lapsed"
)

// Session is an entry's row in the platform's table.
type Session struct {
	Entry string
	Zone  string
	// Address is the entry's peer address.
	Address string
	// Incarnation tells one run of the entry's process from every other.
	Incarnation string
	// Epoch counts the sessions that entries of this name have opened.
	Epoch uint64
	// Counter counts the renewals of the session.
	Counter uint64
	State   State
	// Attempt tells this write from every other one.
	Attempt string
}

// Row is a session with the version of its row.
type Row struct {
	Session
	Version int64
}

// KeyPrefix begins the keys of all session rows.
const KeyPrefix = "session/"

// Key returns the key of the entry's session row.
func Key(zone, entry string) string {
	return KeyPrefix + zone + "/" + entry
}
