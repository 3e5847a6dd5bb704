package operator

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/dghubble/sling"
	"github.com/pkg/errors"
)

const (
	clientTimeout    = 15 * time.Second
	maxResponseBytes = 64 << 20
)

// Client is a client of the operators' API of one entry.
type Client struct {
	base       string
	key        string
	httpClient *http.Client
}

// ClientOption configures a Client.
type ClientOption func(*Client)

// WithHTTPClient sets the HTTP client.
func WithHTTPClient(c *http.Client) ClientOption {
	return func(client *Client) { client.httpClient = c }
}

// NewClient returns a client of the operator listener at the base URL, with
// the operators' key.
func NewClient(base, key string, opts ...ClientOption) *Client {
	c := &Client{base: base, key: key, httpClient: &http.Client{Timeout: clientTimeout}}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Configuration returns the configuration in force at the entry.
func (c *Client) Configuration(ctx context.Context) (Configuration, error) {
	body, err := c.call(ctx, c.request().Get("/config"), nil)
	if err != nil {
		return Configuration{}, err
	}
	return DecodeConfiguration(body)
}

// History returns the changes that were accepted after a revision.
func (c *Client) History(ctx context.Context, after uint64) ([]Change, error) {
	path := "/config/history?after=" + strconv.FormatUint(after, 10)
	body, err := c.call(ctx, c.request().Get(path), nil)
	if err != nil {
		return nil, err
	}
	configuration, err := DecodeConfiguration(body)
	return configuration.Changes, err
}

// Apply submits a change and returns it as accepted. While the platform is
// unreachable, a change of a zone or an instance is accepted provisionally: its
// Revision is 0, and it takes effect at this entry and at every entry that
// receives it from a peer. If a concurrent change of the same entity was accepted
// first, Apply returns a *Problem that holds the conflicting change.
func (c *Client) Apply(ctx context.Context, change Change) (Change, error) {
	body, err := c.call(ctx, c.request().Post("/config/changes"), EncodeChange(change))
	if err != nil {
		return Change{}, err
	}
	return DecodeChange(body)
}

// Status returns the entry's status.
func (c *Client) Status(ctx context.Context) (Status, error) {
	body, err := c.call(ctx, c.request().Get("/status"), nil)
	if err != nil {
		return Status{}, err
	}
	return DecodeStatus(body)
}

// Instances returns the instances in the entry's instance list.
func (c *Client) Instances(ctx context.Context) ([]InstanceStatus, error) {
	body, err := c.call(ctx, c.request().Get("/instances"), nil)
	if err != nil {
		return nil, err
	}
	return DecodeInstances(body)
}

// Confirmations returns the revision in force at each entry, as queried by the
// client's entry.
func (c *Client) Confirmations(ctx context.Context) ([]Confirmation, error) {
	body, err := c.call(ctx, c.request().Get("/confirmations"), nil)
	if err != nil {
		return nil, err
	}
	return DecodeConfirmations(body)
}

// Burn returns the objective counts of all entries, as collected by the client's
// entry.
func (c *Client) Burn(ctx context.Context) (BurnReport, error) {
	body, err := c.call(ctx, c.request().Get("/burn"), nil)
	if err != nil {
		return BurnReport{}, err
	}
	return DecodeBurnReport(body)
}

func (c *Client) request() *sling.Sling {
	return sling.New().Base(c.base).Set("Authorization", "Bearer "+c.key)
}

// call sends a request, with body as JSON unless it is nil, and returns the body of
// the response. It returns a *Problem for a status other than 200.
func (c *Client) call(ctx context.Context, s *sling.Sling, body []byte) ([]byte, error) {
	if body != nil {
		s = s.Body(bytes.NewReader(body)).Set("Content-Type", "application/json")
	}
	request, err := s.Request()
	if err != nil {
		return nil, errors.Wrap(err, "build the request")
	}
	response, err := c.httpClient.Do(request.WithContext(ctx))
	if err != nil {
		return nil, errors.Wrapf(err, "reach the entry at %s; check --entry and that the entry runs", c.base)
	}
	defer response.Body.Close()
	responseBody, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, errors.Wrap(err, "read the entry's response")
	}
	if response.StatusCode != http.StatusOK {
		return nil, DecodeProblem(response.StatusCode, responseBody)
	}
	return responseBody, nil
}
