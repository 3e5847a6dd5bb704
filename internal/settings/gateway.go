package settings

import (
	"os"
	"strconv"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
)

// Gateway holds the settings of an entry that forwards requests to backend servers
// byte for byte.
type Gateway struct {
	// Name is the name of the entry, unique in the fleet.
	Name string
	// Zone is the entry's availability zone. Zones lists all availability zones.
	Zone  string
	Zones []string
	// CallerAddress is the listening address for callers' requests.
	CallerAddress string
	// ReadinessAddress and ReadinessPath are the listening address and the path of
	// the endpoint that the load balancer checks for whether the entry accepts
	// requests.
	ReadinessAddress string
	ReadinessPath    string
	// MetricsAddress is the listening address for metrics. Empty disables them.
	MetricsAddress string
	// PeerAddress is the listening address for peer connections. Empty disables
	// the exchange with peers.
	PeerAddress string
	// ProcessorShare is the share of a core that the instance has. The strongest
	// entries of a large availability zone relay the store's rows to the others.
	ProcessorShare float64
	// PeerKey is the shared secret that authenticates peers.
	PeerKey string
	// StoreAddress is the host and port of the platform's store.
	StoreAddress string
	// Planning is how the zone's servers are distributed to the models, PlanByDemand
	// or PlanByShare.
	Planning string
	// FirstStart is true at the first start of the whole fleet.
	FirstStart bool
	// Bounds holds the limits that the operators guarantee to callers.
	Bounds GatewayBounds
	// Limits bounds what clients may make the entry hold.
	Limits GatewayLimits
	// LogLevel is the name of a logrus level.
	LogLevel string
}

// Values of Gateway.Planning. An empty one means PlanByDemand.
const (
	// PlanByDemand follows the work that the requests of each model bring. It needs a
	// service with more than one model and a configuration with the engine's timing.
	PlanByDemand = "demand"
	// PlanByShare follows the models' initial shares of the work.
	PlanByShare = "share"
)

// GatewayBounds holds the time limits and the retry budget that all entries enforce
// together.
type GatewayBounds struct {
	// Revocation is how long a request may still run after its key was revoked.
	// 0 means that the limit is not strict; a settings file can't set it to 0.
	Revocation time.Duration
	// Grace is the time from SIGTERM to the end of the process.
	Grace time.Duration
	// BrokenAfter is how long a replica group that has lost a member is stalled
	// before its leader changes to the state "broken".
	BrokenAfter time.Duration
	// Drain is how long after its record went a server may get requests, if it still
	// gives signs of life. 0 means that it gets none, and that a missing record closes
	// the server's replica group.
	Drain time.Duration
	// RetrySpan is the time window of a service's retry budget. Within it, the
	// service may have RetryRatio retries per request plus RetrySlack retries.
	RetrySpan  time.Duration
	RetryRatio float64
	RetrySlack float64
}

// GatewayLimits bounds what clients may make an entry hold.
type GatewayLimits struct {
	// MemoryBytes is the memory of the entry's instance. 0 means the default.
	MemoryBytes int64
	// Descriptors is the number of files and connections that the process may have
	// open. 0 means the operating system's limit for the process.
	Descriptors int
}

// SetDefaults replaces the limits that are 0.
func (l *GatewayLimits) SetDefaults() {
	if l.MemoryBytes == 0 {
		l.MemoryBytes = defaultMemoryMB * megabyte
	}
	if l.Descriptors > 0 {
		return
	}
	l.Descriptors = defaultDescriptors
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil && limit.Cur > 0 {
		l.Descriptors = int(min(limit.Cur, maxDescriptors))
	}
}

// megabyte is the unit of memory-mb.
const megabyte = 1_000_000

// Bounds and default values of GatewayLimits. The smallest instances have the default
// values.
const (
	defaultMemoryMB    = 184
	minMemoryMB        = 64
	defaultDescriptors = 4096
	minDescriptors     = 256
	// maxDescriptors is used if the operating system's limit is higher.
	maxDescriptors = 65536
)

// defaultProcessorShare is a whole core.
const defaultProcessorShare = 1

// Default values of GatewayBounds.
const (
	defaultRevocation  = 5 * time.Second
	defaultGrace       = 8 * time.Second
	defaultBrokenAfter = 6 * time.Second
	defaultRetrySpan   = 10 * time.Second
	defaultRetryRatio  = 0.1
	defaultRetrySlack  = 10
)

// LoadGateway reads and validates a gateway's settings file. If the file is invalid,
// the error is a findings.List with all findings, or with only the first syntax
// error.
func LoadGateway(file string) (Gateway, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Gateway{}, errors.Wrap(err, "read the settings file")
	}
	return ParseGateway(file, text)
}

// ParseGateway parses and validates the text of a gateway's settings file. file is
// the name that findings state.
func ParseGateway(file string, text []byte) (Gateway, error) {
	r := &reader{file: file, text: text}
	value, ok := r.parse()
	if !ok {
		return Gateway{}, r.findings.Err()
	}
	o := newObject(r, value, "")
	g := Gateway{
		Name: o.text("name", "", true), Zone: o.text("zone", "", true), Zones: o.textList("zones"),
		CallerAddress:    r.address(o, "caller-address", true),
		ReadinessAddress: r.address(o, "readiness-address", true),
		ReadinessPath:    o.text("readiness-path", "/ready", false),
		MetricsAddress:   r.address(o, "metrics-address", false),
		PeerAddress:      r.address(o, "peer-address", false),
		PeerKey:          o.text("peer-key", "", false),
		ProcessorShare:   o.number("processor-share", defaultProcessorShare),
		StoreAddress:     r.address(o, "store-address", true),
		Planning:         o.text("planning", PlanByDemand, false),
		FirstStart:       o.boolean("first-start"),
		LogLevel:         o.text("log-level", "info", false),
		Bounds:           r.gatewayBounds(o.object("bounds", false)),
		Limits:           r.gatewayLimits(o.object("limits", false)),
	}
	if _, err := logrus.ParseLevel(g.LogLevel); err != nil {
		r.addFinding(o.members["log-level"].StartOffset, "log-level is not a known level", `write "info", "warning" or "debug"`)
	}
	if g.Planning != PlanByDemand && g.Planning != PlanByShare {
		r.addFinding(o.members["planning"].StartOffset, "planning is not a known way to plan", `write "demand" or "share"`)
	}
	o.reportUnknown()
	return g, r.findings.Err()
}

func (r *reader) gatewayBounds(o *object) GatewayBounds {
	b := GatewayBounds{
		Revocation:  o.duration("revocation", defaultRevocation),
		Grace:       o.duration("grace", defaultGrace),
		BrokenAfter: o.duration("broken", defaultBrokenAfter),
		Drain:       o.durationOrZero("drain"),
		RetrySpan:   o.duration("repeat-span", defaultRetrySpan),
		RetryRatio:  o.number("repeat-ratio", defaultRetryRatio),
		RetrySlack:  o.number("repeat-slack", defaultRetrySlack),
	}
	o.reportUnknown()
	return b
}

func (r *reader) gatewayLimits(o *object) GatewayLimits {
	l := r.clientLimits(o)
	o.reportUnknown()
	return l
}

func (r *reader) clientLimits(o *object) GatewayLimits {
	memory := o.number("memory-mb", defaultMemoryMB)
	if memory < minMemoryMB {
		r.addFinding(o.members["memory-mb"].StartOffset, o.fullName("memory-mb")+" is out of range",
			"write the megabytes of the instance, "+strconv.Itoa(minMemoryMB)+" or more")
	}
	return GatewayLimits{MemoryBytes: int64(memory * megabyte), Descriptors: o.integer("descriptors", 0, minDescriptors)}
}
