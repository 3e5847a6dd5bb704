package platform

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// maxObjectBytes limits the size of an object that is read into memory.
const maxObjectBytes = 16 << 20

// PutObject stores body under key in the object store. After ErrUnavailable, the
// object may have been stored.
func (c *Client) PutObject(ctx context.Context, key string, body []byte) error {
	_, err := c.object(ctx, http.MethodPut, key, body)
	return err
}

// GetObject returns the object at key. Objects larger than 16 MiB are truncated
// without an error. It returns ErrUnavailable if the object does not exist or the
// call to the platform fails.
func (c *Client) GetObject(ctx context.Context, key string) ([]byte, error) {
	return c.object(ctx, http.MethodGet, key, nil)
}

func (c *Client) object(ctx context.Context, method, key string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, c.objectsURL+"/"+key, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "build the request")
	}
	response, err := c.httpClient.Do(request)
	if err != nil {
		c.closeIdleAfterTimeout(ctx)
		return nil, errors.Wrap(ErrUnavailable, err.Error())
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Wrap(ErrUnavailable, response.Status)
	}
	return io.ReadAll(io.LimitReader(response.Body, maxObjectBytes))
}
