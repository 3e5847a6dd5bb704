package gateway

import (
	"context"
	"net"
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/internal/boottime"
)

// options holds the dependencies that tests replace.
type options struct {
	listen func(network, address string) (net.Listener, error)
	// dial opens connections to backend servers and to other entries. If it is
	// nil, the packages use their own dialers.
	dial func(ctx context.Context, network, address string) (net.Conn, error)
	// bootClock returns the time since boot as a time.Time. It includes the time
	// during which the machine was suspended.
	bootClock func() time.Time
}

// Option configures a Gateway.
type Option func(*options)

// WithListen replaces the function that opens listeners.
func WithListen(listen func(network, address string) (net.Listener, error)) Option {
	return func(o *options) { o.listen = listen }
}

// WithDial replaces the function that opens connections to backend servers and
// to other entries.
func WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(o *options) { o.dial = dial }
}

// WithBootClock replaces the clock that measures leases and the age of the
// configuration.
func WithBootClock(now func() time.Time) Option {
	return func(o *options) { o.bootClock = now }
}

func newOptions(opts []Option) options {
	o := options{listen: net.Listen, bootClock: boottime.Now}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
