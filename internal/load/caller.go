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

// Caller calls entries with one organisation's key.
type Caller struct {
	client *http.Client
	key    string
}

// NewCaller returns a Caller.
func NewCaller(client *http.Client, key string) *Caller {
	return &Caller{client: client, key: key}
}

// Generate sends a request to the entry at the base URL and reads the answer.
func (c *Caller) Generate(ctx context.Context, base string, r Request) Response {
	request, err := r.http(base, c.key)
	if err != nil {
		return Response{Err: err}
	}
	startedAt := time.Now()
	reply, err := c.client.Do(request.WithContext(ctx))
	if err != nil {
		return Response{Err: err}
	}
	defer reply.Body.Close()
	a := Response{Status: reply.StatusCode, Run: caller.RunState(reply.Header.Get(caller.RunHeader))}
	if reply.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(reply.Body)
		a.Err = errors.Errorf("status %d: %s", reply.StatusCode, body)
		return a
	}
	a.read(sse.NewReader(reply.Body), startedAt)
	a.Total = time.Since(startedAt)
	_, _ = io.Copy(io.Discard, reply.Body) // so that the connection is reused
	return a
}

type eventWire struct {
	Error   json.RawMessage `json:"error"`
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// read reads the events of an answer up to its end marker.
func (a *Response) read(reader *sse.Reader, startedAt time.Time) {
	var text strings.Builder
	last := startedAt
	for {
		event, err := reader.Read()
		if err != nil {
			a.Err = errors.Wrap(err, "the answer ended early")
			break
		}
		if bytes.Equal(event.Data, []byte("[DONE]")) {
			a.Complete = true
			break
		}
		token, err := tokenOf(event.Data)
		if err != nil {
			a.Err = err
			break
		}
		if token == "" {
			continue
		}
		text.WriteString(token)
		last = a.note(last, startedAt)
	}
	a.Text = text.String()
}

// note takes down the time of a token.
func (a *Response) note(last, startedAt time.Time) time.Time {
	now := time.Now()
	if a.Tokens == 0 {
		a.FirstToken = now.Sub(startedAt)
	} else {
		a.TokenGaps = append(a.TokenGaps, now.Sub(last))
	}
	a.Tokens++
	return now
}

func tokenOf(data []byte) (string, error) {
	var w eventWire
	if err := json.Unmarshal(data, &w); err != nil {
		return "", errors.Wrap(err, "decode an event")
	}
	if w.Error != nil {
		return "", errors.Errorf("the answer holds an error: %s", w.Error)
	}
	if len(w.Choices) == 0 {
		return "", nil
	}
	return w.Choices[0].Delta.Content, nil
}

// Record writes one record through a plain service, a call that is not
// idempotent.
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
	reply, err := c.client.Do(request)
	if err != nil {
		return Response{Err: err}
	}
	defer reply.Body.Close()
	_, err = io.Copy(io.Discard, reply.Body)
	return Response{
		Status: reply.StatusCode, Run: caller.RunState(reply.Header.Get(caller.RunHeader)),
		Complete: err == nil && reply.StatusCode == http.StatusOK, Total: time.Since(startedAt), Err: err,
	}
}
