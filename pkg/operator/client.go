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
	clientTimeout  = 15 * time.Second
	maxAnswerBytes = 64 << 20
)

// Client calls one entry's operators' API.
type Client struct {
	base       string
	key        string
	httpClient *http.Client
}

// ClientOption changes a Client under construction.
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

// History returns the accepted changes behind a revision.
func (c *Client) History(ctx context.Context, after uint64) ([]Change, error) {
	path := "/config/history?after=" + strconv.FormatUint(after, 10)
	body, err := c.call(ctx, c.request().Get(path), nil)
	if err != nil {
		return nil, err
	}
	configuration, err := DecodeConfiguration(body)
	return configuration.Changes, err
}

// Apply asks the entry to accept a change and returns it as accepted. Without
// the platform, an order about a zone or an instance is accepted provisionally:
// its Revision is 0, and it holds wherever word of it arrives. Apply fails with a *Problem that holds the conflicting change when another
// operator was faster.
func (c *Client) Apply(ctx context.Context, change Change) (Change, error) {
	body, err := c.call(ctx, c.request().Post("/config/changes"), EncodeChange(change))
	if err != nil {
		return Change{}, err
	}
	return DecodeChange(body)
}

// Status returns what the entry says of itself.
func (c *Client) Status(ctx context.Context) (Status, error) {
	body, err := c.call(ctx, c.request().Get("/status"), nil)
	if err != nil {
		return Status{}, err
	}
	return DecodeStatus(body)
}

// Instances returns the instances that the entry knows.
func (c *Client) Instances(ctx context.Context) ([]InstanceStatus, error) {
	body, err := c.call(ctx, c.request().Get("/instances"), nil)
	if err != nil {
		return nil, err
	}
	return DecodeInstances(body)
}

// Confirmations asks every entry which revision is in force there.
func (c *Client) Confirmations(ctx context.Context) ([]Confirmation, error) {
	body, err := c.call(ctx, c.request().Get("/confirmations"), nil)
	if err != nil {
		return nil, err
	}
	return DecodeConfirmations(body)
}

// Burn gathers how the requests of all entries met their objectives.
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

func (c *Client) call(ctx context.Context, s *sling.Sling, body []byte) ([]byte, error) {
	if body != nil {
		s = s.Body(bytes.NewReader(body)).Set("Content-Type", "application/json")
	}
	request, err := s.Request()
	if err != nil {
		return nil, errors.Wrap(err, "build the request")
	}
	reply, err := c.httpClient.Do(request.WithContext(ctx))
	if err != nil {
		return nil, errors.Wrapf(err, "reach the entry at %s; check --entry and that the entry runs", c.base)
	}
	defer reply.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(reply.Body, maxAnswerBytes))
	if err != nil {
		return nil, errors.Wrap(err, "read the entry's answer")
	}
	if reply.StatusCode != http.StatusOK {
		return nil, DecodeProblem(reply.StatusCode, answer)
	}
	return answer, nil
}
