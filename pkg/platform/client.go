package platform

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/dghubble/sling"
	"github.com/pkg/errors"

	"github.com/hibiscuspulley/hibiscuspulley/internal/bodylimit"
	"github.com/hibiscuspulley/hibiscuspulley/internal/dialerror"
)

const (
	// DefaultTimeout limits the duration of one call to the platform.
	DefaultTimeout = 2 * time.Second

	maxIdleConns = 16
	// maxHeadBytes limits the head of a response, and maxResponseBytes its body.
	maxHeadBytes     = 64 << 10
	maxResponseBytes = 64 << 20
)

// Client is a client of the platform's services. It is safe for concurrent use.
type Client struct {
	tableURL     string
	objectsURL   string
	instancesURL string
	timeout      time.Duration
	httpClient   *http.Client
	transport    *http.Transport
	instances    instanceCache
	// onInvalidInstance is called for each item of the instance list that can't be
	// right, whenever the list has changed.
	onInvalidInstance func(error)
}

// Option configures a Client.
type Option func(*Client)

// WithObjects sets the base URL of the object store's bucket.
func WithObjects(url string) Option {
	return func(c *Client) { c.objectsURL = url }
}

// WithInstances sets the URL of the instance list.
func WithInstances(url string) Option {
	return func(c *Client) { c.instancesURL = url }
}

// WithOnInvalidInstance sets the function that is called for each item of the
// instance list that can't be decoded or has no valid address, whenever the list has
// changed.
func WithOnInvalidInstance(f func(error)) Option {
	return func(c *Client) { c.onInvalidInstance = f }
}

// WithTimeout limits the duration of each call.
func WithTimeout(d time.Duration) Option {
	return func(c *Client) { c.timeout = d }
}

// WithDial replaces the function that opens connections.
func WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(c *Client) { c.transport.DialContext = dial }
}

// NewClient returns a client of the table at tableURL.
func NewClient(tableURL string, opts ...Option) *Client {
	transport := &http.Transport{
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     30 * time.Second,

		MaxResponseHeaderBytes: maxHeadBytes,
	}
	c := &Client{tableURL: tableURL, timeout: DefaultTimeout, transport: transport, onInvalidInstance: func(error) {}}
	for _, opt := range opts {
		opt(c)
	}
	c.httpClient = &http.Client{Transport: bodylimit.Transport{Next: transport, MaxBytes: maxResponseBytes}}
	return c
}

// Close releases the client's idle connections.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}

// Range returns the rows whose keys begin with prefix, ordered by key. It
// returns ErrUnavailable if the call to the platform fails.
func (c *Client) Range(ctx context.Context, prefix string) ([]Row, error) {
	return c.readRange(ctx, rangeRequestWire{Key: []byte(prefix), RangeEnd: prefixEnd(prefix)})
}

// Changed returns the rows whose keys begin with prefix and that were written
// after table revision since, and the table's current revision. Deleted rows are
// not reported. It returns ErrUnavailable if the call to the platform fails.
func (c *Client) Changed(ctx context.Context, prefix string, since int64) ([]Row, int64, error) {
	request := rangeRequestWire{Key: []byte(prefix), RangeEnd: prefixEnd(prefix), MinVersion: since + 1}
	var response rangeResponseWire
	if _, err := c.post(ctx, "/v3/kv/range", request, &response); err != nil {
		return nil, 0, errors.Wrap(ErrUnavailable, err.Error())
	}
	return decodeRows(response.Rows), response.Header.Revision, nil
}

// Between returns the rows with start <= key < end. It returns ErrUnavailable if
// the call to the platform fails.
func (c *Client) Between(ctx context.Context, start, end string) ([]Row, error) {
	return c.readRange(ctx, rangeRequestWire{Key: []byte(start), RangeEnd: []byte(end)})
}

// Get returns the row at key and whether it exists. It returns ErrUnavailable if
// the call to the platform fails.
func (c *Client) Get(ctx context.Context, key string) (Row, bool, error) {
	rows, err := c.readRange(ctx, rangeRequestWire{Key: []byte(key)})
	if err != nil || len(rows) == 0 {
		return Row{}, false, err
	}
	return rows[0], true, nil
}

func (c *Client) readRange(ctx context.Context, request rangeRequestWire) ([]Row, error) {
	var response rangeResponseWire
	if _, err := c.post(ctx, "/v3/kv/range", request, &response); err != nil {
		return nil, errors.Wrap(ErrUnavailable, err.Error())
	}
	return decodeRows(response.Rows), nil
}

// Commit runs txn. If a comparison does not hold, Succeeded is false and the error
// is nil. If the response is lost, Commit reads the first written row back and
// compares its value. Callers must therefore put a unique attempt identifier into
// each value, so that equal bytes prove that this write took effect. Commit
// returns ErrUnavailable if the write did not run, and ErrUnknownOutcome if that
// can't be determined, as always after a lost response without Puts.
func (c *Client) Commit(ctx context.Context, txn Transaction) (Outcome, error) {
	var response txnResponseWire
	status, err := c.post(ctx, "/v3/kv/txn", encodeTransaction(txn), &response)
	if err == nil {
		return Outcome{Succeeded: response.Succeeded, Version: response.Header.Revision}, nil
	}
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		return Outcome{}, errors.Wrap(ErrUnavailable, err.Error())
	}
	if dialerror.Is(err) {
		return Outcome{}, errors.Wrap(ErrUnavailable, err.Error())
	}
	return c.readBack(ctx, txn, err)
}

// readBack determines the outcome of a transaction whose response was lost. It
// returns ErrUnknownOutcome unless the first written row holds the written value.
func (c *Client) readBack(ctx context.Context, txn Transaction, cause error) (Outcome, error) {
	unknown := errors.Wrap(ErrUnknownOutcome, cause.Error())
	if len(txn.Puts) == 0 {
		return Outcome{}, unknown
	}
	row, found, err := c.Get(ctx, txn.Puts[0].Key)
	if err != nil || !found {
		return Outcome{}, unknown
	}
	if string(row.Value) != string(txn.Puts[0].Value) {
		return Outcome{}, unknown
	}
	return Outcome{Succeeded: true, Version: row.Version}, nil
}

// post sends a JSON request, decodes the response body into result and returns
// the HTTP status. The status is 0 if no valid response was received. A status
// other than 200 is an error.
func (c *Client) post(ctx context.Context, path string, body, result any) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	request, err := sling.New().Base(c.tableURL).Post(path).BodyJSON(body).Request()
	if err != nil {
		return 0, errors.Wrap(err, "build the request")
	}
	response, err := sling.New().Client(c.httpClient).Do(request.WithContext(ctx), result, nil)
	if err != nil {
		c.closeIdleAfterTimeout(ctx)
		return 0, err
	}
	if response.StatusCode != http.StatusOK {
		return response.StatusCode, errors.Errorf("the platform returned %s", response.Status)
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

// prefixEnd returns the first key after all keys that begin with prefix. If there is
// no such key, it returns a zero byte, which etcd takes as the end of the table.
func prefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}
