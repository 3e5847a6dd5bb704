package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// caller sends requests to the entries as a client does.
type caller struct {
	rec    *recorder
	client *http.Client
	nextID atomic.Int64
}

func newCaller(rec *recorder) *caller {
	return &caller{rec: rec, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}}
}

// answer is what a client got; status 0 means that the channel ended.
type answer struct {
	id     string
	status int
	signed bool
	body   string
	err    error
	sentAt time.Time
}

func (c *caller) do(address, method, path string, deadline time.Duration, header map[string]string, body io.Reader) answer {
	a := answer{id: fmt.Sprintf("r%06d", c.nextID.Add(1)), sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	if err != nil {
		panic(err)
	}
	r.Host = callerHost
	r.Header.Set(headerRequest, a.id)
	r.Header.Set(headerDeadline, fmt.Sprint(deadline.Milliseconds()))
	r.Header.Set("Authorization", "Token "+callerKey)
	for name, value := range header {
		r.Header.Set(name, value)
	}
	c.rec.addf("client sends %s %s %s to %s", a.id, method, path, address)
	response, err := c.client.Do(r)
	if err != nil {
		a.err = err
		c.rec.addf("client got no answer to %s: %v", a.id, err)
		return a
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	a.status, a.signed, a.body, a.err = response.StatusCode, response.Header.Get(headerSignature) != "", string(content), err
	c.rec.addf("client got %d (signed: %t, %d bytes, error: %v) for %s", a.status, a.signed, len(content), err, a.id)
	return a
}

// stream asks for a generation and reports whether the whole stream arrived.
func (c *caller) stream(address string) (answer, bool) {
	a := c.do(address, http.MethodPost, "/notes/draft", 6*time.Second, map[string]string{
		headerModel: modelName, headerTokens: "700,40", headerPrefix: "5c1e07a2:40,91bd3f06:660", "Content-Type": "application/json",
	}, strings.NewReader(`{"prompt":"shift handover"}`))
	whole := a.status == http.StatusOK && a.err == nil && a.signed && strings.Contains(a.body, fmt.Sprintf("id: %d\n", eventCount))
	return a, whole
}
