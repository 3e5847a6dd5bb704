package engine

import (
	"bytes"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/dghubble/sling"
	"github.com/pkg/errors"

	"github.com/hibiscuspulley/hibiscuspulley/internal/dialerror"
	"github.com/hibiscuspulley/hibiscuspulley/internal/sse"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/caller"
)

const (
	// DefaultDialTimeout bounds the opening of a connection.
	DefaultDialTimeout = time.Second
	// DefaultFirstTimeout bounds the time to the first event of a stream.
	DefaultFirstTimeout = 10 * time.Second
	// DefaultIdleTimeout bounds the silence between two events of a stream.
	DefaultIdleTimeout = 3 * time.Second

	maxErrorBytes   = 4 << 10
	maxIdlePerHost  = 64
	idleConnTimeout = 10 * time.Second
)

// Client reaches engines by their addresses. It is safe for concurrent use.
type Client struct {
	firstTimeout time.Duration
	idleTimeout  time.Duration
	transport    *http.Transport
	httpClient   *http.Client
}

// Option changes a Client under construction.
type Option func(*Client)

// WithDial replaces the function that opens connections.
func WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(c *Client) { c.transport.DialContext = dial }
}

// WithIdleTimeout bounds the silence between two events of a stream.
func WithIdleTimeout(d time.Duration) Option {
	return func(c *Client) { c.idleTimeout = d }
}

// WithTLS sets the TLS configuration for addresses that begin with https://.
func WithTLS(cfg *tls.Config) Option {
	return func(c *Client) { c.transport.TLSClientConfig = cfg }
}

// NewClient returns a Client.
func NewClient(opts ...Option) *Client {
	dialer := &net.Dialer{Timeout: DefaultDialTimeout}
	c := &Client{
		firstTimeout: DefaultFirstTimeout,
		idleTimeout:  DefaultIdleTimeout,
		transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: maxIdlePerHost,
			IdleConnTimeout:     idleConnTimeout,
			DisableCompression:  true,
		},
	}
	for _, opt := range opts {
		opt(c)
	}
	c.httpClient = &http.Client{Transport: c.transport}
	return c
}

// Close releases the client's idle connections.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}

// Generate starts or resumes an answer at the engine. It fails with
// ErrNotReached, with a *StatusError for a refusal, or with another error
// when the engine may have run the request.
func (c *Client) Generate(ctx context.Context, address string, r Request) (*Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	watchdog := time.AfterFunc(c.firstTimeout, cancel)
	reply, err := c.send(ctx, address, r)
	if err != nil {
		watchdog.Stop()
		cancel()
		return nil, err
	}
	next := 0
	if r.ResumeAfter != nil {
		next = *r.ResumeAfter + 1
	}
	return &Stream{
		body:     reply.Body,
		reader:   sse.NewReader(reply.Body),
		cancel:   cancel,
		watchdog: watchdog,
		idle:     c.idleTimeout,
		prefix:   []byte(r.ID + "/"),
		next:     next,
	}, nil
}

func (c *Client) send(ctx context.Context, address string, r Request) (*http.Response, error) {
	url := baseURL(address) + r.Path
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(r.Body))
	if err != nil {
		return nil, errors.Wrap(ErrNotReached, err.Error())
	}
	r.setHeaders(request.Header)
	reply, err := c.transport.RoundTrip(request)
	if err != nil {
		c.retireConnections(ctx)
		if dialerror.Is(err) {
			return nil, errors.Wrap(ErrNotReached, err.Error())
		}
		return nil, errors.Wrap(err, "send to the engine")
	}
	if reply.StatusCode == http.StatusOK {
		return reply, nil
	}
	defer reply.Body.Close()
	body, _ := io.ReadAll(io.LimitReader(reply.Body, maxErrorBytes))
	notRun := reply.Header.Get(caller.RunHeader) == string(caller.NotRun)
	return nil, &StatusError{Status: reply.StatusCode, Body: body, NotRun: notRun}
}

// Cancel tells the engine to stop an attempt. An unknown one is no error.
func (c *Client) Cancel(ctx context.Context, address, requestID string) error {
	path := baseURL(address) + "/v1/responses/" + requestID + "/cancel"
	_, err := c.call(ctx, sling.New().Post(path), nil)
	return err
}

// Probe reads the engine's health.
func (c *Client) Probe(ctx context.Context, address string) (Health, error) {
	var w healthWire
	status, err := c.call(ctx, sling.New().Get(baseURL(address)+"/health"), &w)
	if err != nil {
		return Health{}, err
	}
	if status != http.StatusOK {
		return Health{}, &StatusError{Status: status}
	}
	return decodeHealth(w), nil
}

// SendOrder sends an order. It fails with ErrStaleGeneration when the engine
// refused the order's fencing token.
func (c *Client) SendOrder(ctx context.Context, address string, order Order) error {
	request := sling.New().Put(baseURL(address) + "/role").BodyJSON(encodeOrder(order))
	status, err := c.call(ctx, request, nil)
	switch {
	case err != nil:
		return err
	case status == http.StatusConflict:
		return ErrStaleGeneration
	case status != http.StatusOK:
		return &StatusError{Status: status}
	}
	return nil
}

func (c *Client) call(ctx context.Context, s *sling.Sling, into any) (int, error) {
	request, err := s.Request()
	if err != nil {
		return 0, errors.Wrap(err, "build the request")
	}
	reply, err := sling.New().Client(c.httpClient).Do(request.WithContext(ctx), into, nil)
	if err != nil {
		c.retireConnections(ctx)
		return 0, err
	}
	return reply.StatusCode, nil
}

// retireConnections drops the pool's idle connections after a timeout: where
// one connection has gone silent, the others may have too.
func (c *Client) retireConnections(ctx context.Context) {
	if ctx.Err() != nil {
		c.transport.CloseIdleConnections()
	}
}

// baseURL returns the URL of an address, which is HOST:PORT or a URL.
func baseURL(address string) string {
	if strings.Contains(address, "://") {
		return address
	}
	return "http://" + address
}
