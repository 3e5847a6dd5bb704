package settings

import "time"

// Settings are one entry's settings.
type Settings struct {
	// Name identifies the entry in the whole fleet.
	Name string
	// Zone is the entry's availability zone.
	Zone string
	// Caller, Operator and Peer are the three listeners.
	Caller   Listener
	Operator Listener
	Peer     Listener
	// Seeds lists peer addresses to try while the platform is unreachable.
	Seeds []string
	// Platform says where the platform's services are.
	Platform Platform
	// Limits bound what callers can demand of the entry.
	Limits Limits
	// Grouping weighs the planner's objectives.
	Grouping Grouping
	// LogLevel is a logrus level name.
	LogLevel string
}

// Listener is one listening address.
type Listener struct {
	// Address is the host and port to listen on.
	Address string
	// Advertise is the host and port that peers use; Address if empty.
	Advertise string
	// CertificateFile and PrivateKeyFile turn TLS on.
	CertificateFile string
	PrivateKeyFile  string
	// KeyFile holds the shared secret that clients must present.
	KeyFile string
}

// Platform says where the platform's services are.
type Platform struct {
	TableURL     string
	ObjectsURL   string
	InstancesURL string
	// Timeout bounds one call.
	Timeout time.Duration
}

// Limits bound what callers can demand of an entry.
type Limits struct {
	// BodyBytes bounds a request body held in memory.
	BodyBytes int
	// HeaderBytes bounds a request's header.
	HeaderBytes int
	// HeaderTimeout bounds the time to read a request's header.
	HeaderTimeout time.Duration
	// BodyTimeout bounds the time to read a request's body.
	BodyTimeout time.Duration
	// IdleTimeout bounds how long an unused connection stays open.
	IdleTimeout time.Duration
	// QueueLength bounds how many requests of a service wait.
	QueueLength int
	// QueueTimeout bounds how long a request waits.
	QueueTimeout time.Duration
	// WriteTimeout bounds how long a caller may block one write.
	WriteTimeout time.Duration
	// ShutdownTimeout bounds how long requests in progress may go on.
	ShutdownTimeout time.Duration
}

// Grouping weighs the planner's objectives.
type Grouping struct {
	// DowntimeWeight is the cost of a missing spare.
	DowntimeWeight float64
	// StrandedWeight is the cost of an instance that can't be used.
	StrandedWeight float64
	// SparesPerDomain is how many spares a fabric domain should keep.
	SparesPerDomain int
}
