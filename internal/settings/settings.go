package settings

import "time"

// Settings holds the settings of one entry.
type Settings struct {
	// Name is the name of the entry, unique in the fleet and without a slash.
	Name string
	// Zone is the entry's availability zone, without a slash.
	Zone string
	// Caller, Operator and Peer are the listeners for callers, operators and peers.
	Caller   Listener
	Operator Listener
	Peer     Listener
	// Seeds lists peer addresses to try while the platform is unreachable.
	Seeds []string
	// Platform holds the URLs of the platform's services.
	Platform Platform
	// Limits holds the limits on requests.
	Limits Limits
	// Grouping holds the planner's settings.
	Grouping Grouping
	// LogLevel is the name of a logrus level.
	LogLevel string
}

// Listener holds the settings of one listener.
type Listener struct {
	// Address is the host and port to listen on.
	Address string
	// Advertise is the host and port that peers connect to. If it is empty, they
	// use the address that the listener is bound to. It applies only to Peer.
	Advertise string
	// CertificateFile and PrivateKeyFile enable TLS. Both or neither are set.
	CertificateFile string
	PrivateKeyFile  string
	// KeyFile is the file with the shared secret that operators or peers must
	// present. Callers present the keys of their organisation instead.
	KeyFile string
}

// Platform holds the base URLs of the platform's services, without a trailing
// slash.
type Platform struct {
	TableURL     string
	ObjectsURL   string
	InstancesURL string
	// Timeout limits one call.
	Timeout time.Duration
}

// Limits holds the limits on requests. The header limits and the idle timeout apply
// to all listeners of an entry, the others to the requests of callers.
type Limits struct {
	// BodyBytes limits the size of a request body held in memory.
	BodyBytes int
	// HeaderBytes limits the size of a request header.
	HeaderBytes int
	// HeaderTimeout limits the time to read a request header.
	HeaderTimeout time.Duration
	// BodyTimeout limits the time to read a request body into memory.
	BodyTimeout time.Duration
	// IdleTimeout limits how long an idle connection stays open.
	IdleTimeout time.Duration
	// QueueLength limits the number of queued requests of a service. Retries are
	// queued beyond it.
	QueueLength int
	// QueueTimeout limits how long one attempt of a request is queued.
	QueueTimeout time.Duration
	// WriteTimeout limits how long a caller may block one write of a streamed
	// response.
	WriteTimeout time.Duration
	// ShutdownTimeout limits how long requests in flight may continue after the
	// shutdown begins.
	ShutdownTimeout time.Duration
	// Clients bounds what clients of all listeners may make the entry hold together.
	Clients GatewayLimits
}

// Grouping holds the settings of the planner of replica groups.
type Grouping struct {
	// DowntimeWeight is the cost of each missing spare.
	DowntimeWeight float64
	// StrandedWeight is the cost of each instance that no group can use, divided
	// by the group size.
	StrandedWeight float64
	// SparesPerDomain is the number of spare instances to keep in a fabric domain
	// with groups.
	SparesPerDomain int
}
