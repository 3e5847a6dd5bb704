package entry

import (
	"context"
	"net"
	"net/http"

	"github.com/sirupsen/logrus"

	"github.com/hibiscuspulley/hibiscuspulley/internal/grouping"
	"github.com/hibiscuspulley/hibiscuspulley/internal/membership"
)

// DialFunc opens a network connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// ListenFunc opens a network listener.
type ListenFunc func(network, address string) (net.Listener, error)

// options holds the replaceable dependencies and the session timing of an Entry.
type options struct {
	logger  *logrus.Logger
	dial    DialFunc
	listen  ListenFunc
	timing  membership.Timing
	planner func(grouping.PlacementWeights) grouping.Planner
}

// Option configures an Entry in New.
type Option func(*options)

// WithLogger sets the logger.
func WithLogger(l *logrus.Logger) Option {
	return func(o *options) { o.logger = l }
}

// WithDial replaces the function that opens connections. The function New wraps
// it to cancel the context of each call after dialTimeout.
func WithDial(dial DialFunc) Option {
	return func(o *options) { o.dial = dial }
}

// WithListen replaces the function that opens listeners.
func WithListen(listen ListenFunc) Option {
	return func(o *options) { o.listen = listen }
}

// WithTiming sets the timing of the entries' membership sessions.
func WithTiming(t membership.Timing) Option {
	return func(o *options) { o.timing = t }
}

// WithPlanner replaces the function that creates the replica group planner.
func WithPlanner(p func(grouping.PlacementWeights) grouping.Planner) Option {
	return func(o *options) { o.planner = p }
}

// dialWithTimeout returns a DialFunc that calls dial and cancels its context after
// dialTimeout.
func dialWithTimeout(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		return dial(ctx, network, address)
	}
}

func defaultOptions() options {
	var dialer net.Dialer
	return options{
		logger:  logrus.New(),
		dial:    dialer.DialContext,
		listen:  net.Listen,
		timing:  membership.DefaultTiming(),
		planner: grouping.NewPlanner,
	}
}

// maxResponseHead limits the head of a response that the entry receives.
const maxResponseHead = 16 << 10

// plainTransport returns a transport without TLS settings. It suits unencrypted
// connections and servers whose certificates the system trusts.
func (o options) plainTransport() *http.Transport {
	return &http.Transport{DialContext: o.dial, DisableCompression: true, MaxResponseHeaderBytes: maxResponseHead}
}
