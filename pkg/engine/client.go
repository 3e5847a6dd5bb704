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

	"github.com/hibiscuspulley/hibiscuspulley/internal/backend"
	"github.com/hibiscuspulley/hibiscuspulley/internal/bodylimit"
	"github.com/hibiscuspulley/hibiscuspulley/internal/dialerror"
	"github.com/hibiscuspulley/hibiscuspulley/internal/sse"
	"github.com/hibiscuspulley/hibiscuspulley/internal/statusline"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/caller"
)

const (
	// DefaultDialTimeout limits how long opening a connection may take. WithDial
	// replaces it.
	DefaultDialTimeout = time.Second
	// DefaultFirstTimeout limits the time from the call of Generate to the first
	// event of the stream.
	DefaultFirstTimeout = 10 * time.Second
	// DefaultIdleTimeout limits the time between two events of a stream.
	DefaultIdleTimeout = 3 * time.Second

	maxErrorBytes = 4 << 10
	// maxHeadBytes limits the head of a response, and maxCallBytes the body of one that is
	// no stream.
	maxHeadBytes    = 16 << 10
	maxCallBytes    = 1 << 20
	maxIdlePerHost  = 64
	idleConnTimeout = 10 * time.Second
)

// Client sends requests to engines by address. It is safe for concurrent use.
type Client struct {
	firstTimeout time.Duration
	idleTimeout  time.Duration
	transport    *http.Transport
	httpClient   *http.Client
}

// Option configures a Client.
type Option func(*Client)

// WithDial replaces the function that opens connections.
func WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(c *Client) { c.transport.DialContext = dial }
}

// WithIdleTimeout limits the time between two events of a stream.
func WithIdleTimeout(d time.Duration) Option {
	return func(c *Client) { c.idleTimeout = d }
}

// WithTLS sets the TLS configuration for https:// addresses.
func WithTLS(cfg *tls.Config) Option {
	return func(c *Client) { c.transport.TLSClientConfig = cfg }
}

// NewClient returns a Client with default timeouts, changed by opts.
func NewClient(opts ...Option) *Client {
	dialer := &net.Dialer{Timeout: DefaultDialTimeout}
	c := &Client{
		firstTimeout: DefaultFirstTimeout,
		idleTimeout:  DefaultIdleTimeout,
		transport: &http.Transport{
			DialContext:         backend.ResetOnClose(dialer.DialContext),
			MaxIdleConnsPerHost: maxIdlePerHost,
			IdleConnTimeout:     idleConnTimeout,
			DisableCompression:  true,

			MaxResponseHeaderBytes: maxHeadBytes,
		},
	}
	for _, opt := range opts {
		opt(c)
	}
	c.httpClient = &http.Client{Transport: bodylimit.Transport{Next: c.transport, MaxBytes: maxCallBytes}}
	return c
}

// Close releases the client's idle connections.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}

// Generate starts or resumes a response at the engine. It returns ErrNotReached
// if no byte of the request reached the engine, a *StatusError if the engine
// returned a status other than 200, and another error if the engine may have run
// the request. The caller must close the stream. The end of ctx ends the stream.
func (c *Client) Generate(ctx context.Context, address string, r Request) (*Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	watchdog := time.AfterFunc(c.firstTimeout, cancel)
	response, err := c.send(ctx, address, r)
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
		body:     response.Body,
		reader:   sse.NewReader(response.Body),
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
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		c.closeIdleAfterTimeout(ctx)
		if dialerror.Is(err) {
			return nil, errors.Wrap(ErrNotReached, err.Error())
		}
		return nil, errors.Wrap(err, "send the request to the engine")
	}
	if response.StatusCode == http.StatusOK {
		return response, nil
	}
	defer response.Body.Close()
	if !statusline.IsFinal(response.StatusCode) {
		return nil, errors.Errorf("%d is not the status of a response", response.StatusCode)
	}
	body, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	notRun := response.Header.Get(caller.RunHeader) == string(caller.NotRun)
	return nil, &StatusError{Status: response.StatusCode, Body: body, NotRun: notRun}
}

// Cancel makes the engine stop an attempt. It ignores the status of the engine's
// response, because cancelling an unknown attempt is not an error.
func (c *Client) Cancel(ctx context.Context, address, requestID string) error {
	path := baseURL(address) + "/v1/responses/" + requestID + "/cancel"
	_, err := c.call(ctx, sling.New().Post(path), nil)
	return err
}

// Probe returns the engine's health. It returns a *StatusError for a status other
// than 200.
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

// SendOrder sends an order. It returns ErrStaleGeneration if the engine rejected
// the order's fencing token, and a *StatusError for any other status than 200.
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

// call sends a request, decodes the body of a successful response into result unless
// it is nil, and returns the status. An error status is not an error.
func (c *Client) call(ctx context.Context, s *sling.Sling, result any) (int, error) {
	request, err := s.Request()
	if err != nil {
		return 0, errors.Wrap(err, "build the request")
	}
	response, err := sling.New().Client(c.httpClient).Do(request.WithContext(ctx), result, nil)
	if err != nil {
		c.closeIdleAfterTimeout(ctx)
		return 0, err
	}
	return response.StatusCode, nil
}

// closeIdleAfterTimeout closes the pool's idle connections if ctx has timed out
// or was cancelled: if one connection has stalled, the others may have too.
func (c *Client) closeIdleAfterTimeout(ctx context.Context) {
	if ctx.Err() != nil {
		c.transport.CloseIdleConnections()
	}
}

// baseURL returns the base URL for an address, which is HOST:PORT or a URL.
func baseURL(address string) string {
	if strings.Contains(address, "://") {
		return address
	}
	return "http://" + address
}
