package settings

import (
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
)

// Gateway are the settings of an entry that passes requests on to backend
// servers with their bytes unchanged.
type Gateway struct {
	// Name identifies the entry in the whole fleet.
	Name string
	// Zone is the entry's availability zone; Zones are all of them.
	Zone  string
	Zones []string
	// CallerAddress takes callers' requests.
	CallerAddress string
	// ReadinessAddress and ReadinessPath tell the balancer whether the entry
	// takes requests.
	ReadinessAddress string
	ReadinessPath    string
	// MetricsAddress serves counters; empty for none.
	MetricsAddress string
	// PeerAddress takes the exchange between entries; empty for none.
	PeerAddress string
	// PeerKey is the shared secret of that exchange.
	PeerKey string
	// StoreAddress is the host and port of the platform's store.
	StoreAddress string
	// FirstStart says that the whole fleet starts for the first time.
	FirstStart bool
	// Bounds are what the operators promise their callers.
	Bounds GatewayBounds
	// LogLevel is a logrus level name.
	LogLevel string
}

// GatewayBounds are time bounds and budgets that all entries keep together.
type GatewayBounds struct {
	// Revocation is how long a request may still run after its key was taken
	// away; 0 if the bound is not strict.
	Revocation time.Duration
	// Grace is the time between SIGTERM and the end of the process.
	Grace time.Duration
	// Broken is how long a replica group that has lost a member stands still
	// before its leader is broken.
	BrokenAfter time.Duration
	// RepeatRatio and RepeatSlack bound a service's repeats in RepeatSpan.
	RetrySpan  time.Duration
	RetryRatio float64
	RetrySlack float64
}

// Defaults of a gateway's settings.
const (
	defaultRevocation  = 5 * time.Second
	defaultGrace       = 8 * time.Second
	defaultBroken      = 6 * time.Second
	defaultRepeatSpan  = 10 * time.Second
	defaultRepeatRatio = 0.1
	defaultRepeatSlack = 10
)

// LoadGateway reads and checks a gateway's settings file.
func LoadGateway(file string) (Gateway, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Gateway{}, errors.Wrap(err, "read the settings file")
	}
	return ParseGateway(file, text)
}

// ParseGateway reads and checks the text of a gateway's settings file.
func ParseGateway(file string, text []byte) (Gateway, error) {
	r := &reader{file: file, text: text}
	value, ok := r.parse()
	if !ok {
		return Gateway{}, r.found.Err()
	}
	o := newObject(r, value, "")
	g := Gateway{
		Name: o.text("name", "", true), Zone: o.text("zone", "", true), Zones: o.texts("zones"),
		CallerAddress:    r.address(o, "caller-address", true),
		ReadinessAddress: r.address(o, "readiness-address", true),
		ReadinessPath:    o.text("readiness-path", "/ready", false),
		MetricsAddress:   r.address(o, "metrics-address", false),
		PeerAddress:      r.address(o, "peer-address", false),
		PeerKey:          o.text("peer-key", "", false),
		StoreAddress:     r.address(o, "store-address", true),
		FirstStart:       o.flag("first-start"),
		LogLevel:         o.text("log-level", "info", false),
		Bounds:           r.gatewayBounds(o.object("bounds", false)),
	}
	if _, err := logrus.ParseLevel(g.LogLevel); err != nil {
		r.note(o.members["log-level"].StartOffset, "log-level is unknown", `write "info", "warning" or "debug"`)
	}
	o.finish()
	return g, r.found.Err()
}

func (r *reader) gatewayBounds(o *object) GatewayBounds {
	b := GatewayBounds{
		Revocation:  o.duration("revocation", defaultRevocation),
		Grace:       o.duration("grace", defaultGrace),
		BrokenAfter: o.duration("broken", defaultBroken),
		RetrySpan:   o.duration("repeat-span", defaultRepeatSpan),
		RetryRatio:  o.number("repeat-ratio", defaultRepeatRatio),
		RetrySlack:  o.number("repeat-slack", defaultRepeatSlack),
	}
	o.finish()
	return b
}
