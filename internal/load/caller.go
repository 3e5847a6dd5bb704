package load

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/hibiscuspulley/hibiscuspulley/internal/sse"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/caller"
)

// Caller sends requests to entries with an organisation's key.
type Caller struct {
	client *http.Client
	key    string
}

// NewCaller returns a Caller that sends its requests through client.
func NewCaller(client *http.Client, key string) *Caller {
	return &Caller{client: client, key: key}
}

// Generate sends a model request to the entry at the base URL and reads the
// streamed response.
func (c *Caller) Generate(ctx context.Context, base string, r Request) Response {
	request, err := r.http(base, c.key)
	if err != nil {
		return Response{Err: err}
	}
	startedAt := time.Now()
	response, err := c.client.Do(request.WithContext(ctx))
	if err != nil {
		return Response{Err: err}
	}
	defer response.Body.Close()
	result := Response{Status: response.StatusCode, Run: caller.RunState(response.Header.Get(caller.RunHeader))}
	if response.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(response.Body)
		result.Err = errors.Errorf("status %d: %s", response.StatusCode, body)
		return result
	}
	result.read(sse.NewReader(response.Body), startedAt)
	result.Total = time.Since(startedAt)
	_, _ = io.Copy(io.Discard, response.Body) // drain the body to reuse the connection
	return result
}

type eventWire struct {
	Error   json.RawMessage `json:"error"`
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// read reads the events of a response up to its end marker.
func (r *Response) read(reader *sse.Reader, startedAt time.Time) {
	var text strings.Builder
	last := startedAt
	for {
		event, err := reader.Read()
		if err != nil {
			r.Err = errors.Wrap(err, "response ended before its end marker")
			break
		}
		if bytes.Equal(event.Data, []byte("[DONE]")) {
			r.Complete = true
			break
		}
		token, err := parseToken(event.Data)
		if err != nil {
			r.Err = err
			break
		}
		if token == "" {
			continue
		}
		text.WriteString(token)
		last = r.recordToken(last, startedAt)
	}
	r.Text = text.String()
}

// recordToken records the arrival of a token and returns its time. last is the
// time of the previous token.
func (r *Response) recordToken(last, startedAt time.Time) time.Time {
	now := time.Now()
	if r.Tokens == 0 {
		r.FirstToken = now.Sub(startedAt)
	} else {
		r.TokenGaps = append(r.TokenGaps, now.Sub(last))
	}
	r.Tokens++
	return now
}

// parseToken returns the text of an event, empty if the event has none.
func parseToken(data []byte) (string, error) {
	var w eventWire
	if err := json.Unmarshal(data, &w); err != nil {
		return "", errors.Wrap(err, "decode an event")
	}
	if w.Error != nil {
		return "", errors.Errorf("the response contains an error event: %s", w.Error)
	}
	if len(w.Choices) == 0 {
		return "", nil
	}
	return w.Choices[0].Delta.Content, nil
}

// Record calls a plain service to write one record. The call is not idempotent.
func (c *Caller) Record(ctx context.Context, base, service, header, id string) Response {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost,
		base+"/services/"+service+"/records", strings.NewReader(`{"record":"`+id+`"}`))
	if err != nil {
		return Response{Err: err}
	}
	request.Header.Set("Authorization", "Bearer "+c.key)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(header, id)
	startedAt := time.Now()
	response, err := c.client.Do(request)
	if err != nil {
		return Response{Err: err}
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return Response{
		Status: response.StatusCode, Run: caller.RunState(response.Header.Get(caller.RunHeader)),
		Complete: err == nil && response.StatusCode == http.StatusOK, Total: time.Since(startedAt), Err: err,
	}
}
