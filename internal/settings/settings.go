package settings

import "time"

// Settings holds the settings of one entry.
type Settings struct {
	// Name is the name of the entry, unique in the fleet.
	Name string
	// Zone is the entry's availability zone.
	Zone string
	// Caller, Operator and Peer are the listeners for callers, operators and peers.
	Caller   Listener
	Operator Listener
	Peer     Listener
	// Seeds lists peer addresses to try while the platform is unreachable.
	Seeds []string
	// Platform holds the addresses of the platform's services.
	Platform Platform
	// Limits holds the limits on callers' requests.
	Limits Limits
	// Grouping holds the weights of the planner's objectives.
	Grouping Grouping
	// LogLevel is the name of a logrus level.
	LogLevel string
}

// Listener holds the settings of one listener.
type Listener struct {
	// Address is the host and port to listen on.
	Address string
	// Advertise is the host and port that peers connect to. If it is empty, they
	// use Address.
	Advertise string
	// CertificateFile and PrivateKeyFile enable TLS.
	CertificateFile string
	PrivateKeyFile  string
	// KeyFile is the file with the shared secret that clients must present.
	KeyFile string
}

// Platform holds the addresses of the platform's services.
type Platform struct {
	TableURL     string
	ObjectsURL   string
	InstancesURL string
	// Timeout limits one call.
	Timeout time.Duration
}

// Limits holds the limits on the requests of an entry's callers.
type Limits struct {
	// BodyBytes limits the size of a request body held in memory.
	BodyBytes int
	// HeaderBytes limits the size of a request header.
	HeaderBytes int
	// HeaderTimeout limits the time to read a request header.
	HeaderTimeout time.Duration
	// BodyTimeout limits the time to read a request body.
	BodyTimeout time.Duration
	// IdleTimeout limits how long an idle connection stays open.
	IdleTimeout time.Duration
	// QueueLength limits the number of queued requests of a service.
	QueueLength int
	// QueueTimeout limits how long a request is queued.
	QueueTimeout time.Duration
	// WriteTimeout limits how long a caller may block one write.
	WriteTimeout time.Duration
	// ShutdownTimeout limits how long requests in flight may continue after the
	// shutdown begins.
	ShutdownTimeout time.Duration
}

// Grouping holds the weights of the planner's objectives.
type Grouping struct {
	// DowntimeWeight is the cost of a missing spare.
	DowntimeWeight float64
	// StrandedWeight is the cost of an instance that can't be used.
	StrandedWeight float64
	// SparesPerDomain is the number of spare instances to keep in a fabric domain.
	SparesPerDomain int
}
