package load

import (
	"encoding/json"
	"net/http"
	"strings"
)

// Request is a chat completion request.
type Request struct {
	Model     string
	Prompt    string
	MaxTokens int
	Priority  int
}

type messageWire struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type requestWire struct {
	Model     string        `json:"model"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens"`
	Priority  int           `json:"priority,omitempty"`
	Messages  []messageWire `json:"messages"`
}

func (r Request) body() string {
	encoded, err := json.Marshal(requestWire{
		Model: r.Model, Stream: true, MaxTokens: r.MaxTokens, Priority: r.Priority,
		Messages: []messageWire{{Role: "user", Content: r.Prompt}},
	})
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	return string(encoded)
}

func (r Request) http(base, key string) (*http.Request, error) {
	request, err := http.NewRequest(http.MethodPost, base+"/v1/chat/completions", strings.NewReader(r.body()))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+key)
	return request, nil
}
