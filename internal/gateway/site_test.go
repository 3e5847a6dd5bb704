package gateway_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/hibiscuspulley/hibiscuspulley/internal/formation"
	"github.com/hibiscuspulley/hibiscuspulley/internal/gateway"
	"github.com/hibiscuspulley/hibiscuspulley/internal/registry"
	"github.com/hibiscuspulley/hibiscuspulley/internal/routes"
	"github.com/hibiscuspulley/hibiscuspulley/internal/settings"
	"github.com/hibiscuspulley/hibiscuspulley/internal/standin"
)

// site is an entry with stand-ins for its environment, in virtual time.
type site struct {
	t       *testing.T
	network *standin.Network
	store   *standin.Store
	entry   *gateway.Gateway
	client  *http.Client
	servers map[string]*server
	logs    *logLines
	// carryOut stands in for the servers that get orders.
	carryOut func(ctx context.Context, o formation.Order) (formation.Outcome, error)
	// dialDelay is how long the entry's connections take to open.
	dialDelay atomic.Int64
	// grace is the entry's grace time.
	grace time.Duration

	mu     sync.Mutex
	config routes.Config
}

// logLines collects the entry's log.
type logLines struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *logLines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *logLines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

const (
	callerAddress = "10.0.0.1:80"
	peerAddress   = "10.0.0.1:82"
	readyAddress  = "10.0.0.1:81"
	revocation    = 5 * time.Second
	key           = "k1"
)

func newSite(t *testing.T) *site {
	s := &site{
		t: t, network: standin.NewMemory(), store: standin.NewStore(), servers: map[string]*server{}, logs: &logLines{}, grace: 8 * time.Second,
		carryOut: func(context.Context, formation.Order) (formation.Outcome, error) { return formation.Begun, nil },
		config: routes.Config{
			Version: 1,
			Routes: []routes.Route{
				{
					Name: "notes", Host: "yard.example", Prefix: "/notes/", Kind: routes.Streaming, Resumable: true, MaxAttempts: 2,
					Timeout: 8 * time.Second, Split: []routes.TrafficShare{{Service: "notes", Weight: 1}},
				},
				{
					Name: "dock", Host: "yard.example", Prefix: "/dock/", Kind: routes.Unsafe, MaxAttempts: 1,
					Timeout: 1500 * time.Millisecond, Split: []routes.TrafficShare{{Service: "docking", Weight: 1}},
				},
				{
					Name: "bays", Host: "yard.example", Prefix: "/bays/", Kind: routes.Safe, MaxAttempts: 2, Public: true,
					Timeout: 1500 * time.Millisecond, Split: []routes.TrafficShare{{Service: "docking", Weight: 1}},
				},
			},
			Services: []routes.Service{
				{Name: "notes", Engine: &routes.Engine{Slots: 4, Models: []routes.Model{{Name: "large", GroupSize: 2, InitialShare: 1}}}},
				{Name: "docking"},
			},
			Limits:        routes.Limits{BodyBytes: 100},
			Organisations: []routes.Organisation{{Name: "north", Keys: []string{key}}},
		},
	}
	s.putConfig()
	return s
}

func (s *site) putConfig() {
	s.mu.Lock()
	defer s.mu.Unlock()
	encoded, err := json.Marshal(s.config)
	require.NoError(s.t, err)
	s.store.Put("op", "config", encoded)
}

// start starts the entry and waits until it is ready.
func (s *site) start() {
	logger := logrus.New()
	logger.SetOutput(s.logs)
	logger.SetFormatter(&logrus.JSONFormatter{})
	entry, err := gateway.New(settings.Gateway{
		Name: "a-1", Zone: "a", Zones: []string{"a"},
		CallerAddress: callerAddress, ReadinessAddress: readyAddress, ReadinessPath: "/ready", PeerAddress: peerAddress,
		Bounds: settings.GatewayBounds{
			Revocation: revocation, Grace: s.grace, BrokenAfter: 6 * time.Second, RetrySpan: 10 * time.Second, RetryRatio: 0.2, RetrySlack: 100,
		},
	}, s.platform(), logger,
		gateway.WithListen(s.network.Listener("a")), gateway.WithDial(s.dialSlowly), gateway.WithBootClock(time.Now))
	require.NoError(s.t, err)
	s.entry = entry
	s.client = &http.Client{Transport: &http.Transport{DialContext: s.network.Dialer("a"), DisableCompression: true}}
	time.Sleep(time.Second)
	require.True(s.t, entry.Ready())
}

// dialSlowly opens a connection after dialDelay.
func (s *site) dialSlowly(ctx context.Context, network, address string) (net.Conn, error) {
	timer := time.NewTimer(time.Duration(s.dialDelay.Load()))
	defer timer.Stop()
	select {
	case <-timer.C:
		return s.network.Dialer("a")(ctx, network, address)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (s *site) stop() {
	s.entry.Shutdown(context.Background())
	s.client.CloseIdleConnections()
	for _, srv := range s.servers {
		srv.stop()
	}
}

// platform returns a hosting platform with a simple encoding for tests.
func (s *site) platform() gateway.Platform {
	return gateway.Platform{
		Store: s.store.Client("a-1"), OperatorTable: "op", ServerTable: "servers",
		IsConfig:      func(key string) bool { return key == "config" },
		EvacuatedZone: func(key string) (string, bool) { return strings.CutPrefix(key, "out/") },
		DecodeConfig: func(value []byte) (routes.Config, error) {
			var c routes.Config
			return c, json.Unmarshal(value, &c)
		},
		DecodeServer: func(_ string, value []byte, now time.Time) (*registry.Server, error) {
			var srv registry.Server
			err := json.Unmarshal(value, &srv)
			srv.ObservedAt = now
			return &srv, err
		},
		SendOrder: func(ctx context.Context, _ string, o formation.Order) (formation.Outcome, error) {
			return s.carryOut(ctx, o)
		},
		FetchServer: func(ctx context.Context, server registry.Server) (registry.Server, error) {
			conn, err := s.network.Dialer("a")(ctx, "tcp", server.Address)
			if err != nil {
				return server, err
			}
			return server, conn.Close()
		},
		Protocol: gateway.Protocol{
			DecodeRequest: func(h http.Header) gateway.RequestInfo {
				ms, _ := strconv.Atoi(h.Get("Wait-Ms")) // absent means no timeout
				return gateway.RequestInfo{
					ID: h.Get("Id"), Key: h.Get("Key"), Timeout: time.Duration(ms) * time.Millisecond,
					Model: h.Get("Weights"), LastEventID: h.Get("After"), PromptParts: promptParts(h),
				}
			},
			Forward: func(h http.Header, f gateway.ForwardInfo) {
				h.Del("Key")
				h.Set("Organisation", f.Organisation)
				h.Set("Told-Priority", strconv.Itoa(f.Priority))
				h.Set("Wait-Ms", strconv.FormatInt(f.Timeout.Milliseconds(), 10))
				if f.LastEventID != "" {
					h.Set("After", f.LastEventID)
				}
			},
			DecodeResponse: func(h http.Header, status int) gateway.ResponseInfo {
				if h.Get("Panic") != "" {
					panic("decode the response")
				}
				s, _ := strconv.ParseFloat(h.Get("Retry-After"), 64) // absent means no wait
				if status != http.StatusServiceUnavailable {
					s = 0
				}
				return gateway.ResponseInfo{
					ID: h.Get("Id"), Signed: h.Get("Receipt") != "", Wait: time.Duration(s * float64(time.Second)),
					NotRun: h.Get("Not-Run") != "" || status == http.StatusMisdirectedRequest,
				}
			},
		},
	}
}

func promptParts(h http.Header) []string {
	if h.Get("Parts") == "" {
		return nil
	}
	return strings.Split(h.Get("Parts"), ",")
}

// server is a backend server or the leader of a replica group.
type server struct {
	id      string
	address string
	handler func(w http.ResponseWriter, r *http.Request)
	http    *http.Server

	mu       sync.Mutex
	received []string
	finished int
}

// add starts a backend server. With a model, it is the leader of an open group.
func (s *site) add(id, service, model string, handler func(w http.ResponseWriter, r *http.Request)) {
	srv := &server{id: id, address: fmt.Sprintf("10.1.0.%d:80", len(s.servers)+1), handler: handler}
	l, err := s.network.Listener("a")("tcp", srv.address)
	require.NoError(s.t, err)
	srv.http = &http.Server{Handler: srv}
	go func() { _ = srv.http.Serve(l) }() // ends with stop
	s.servers[id] = srv
	s.register(srv, service, model, false)
}

// register writes the record of a server.
func (s *site) register(srv *server, service, model string, leaving bool) {
	record := registry.Server{ID: srv.id, StartTime: 1, Service: service, Address: srv.address, Zone: "a", Slots: 4, Leaving: leaving}
	if model != "" {
		record.Member = &registry.Membership{Group: registry.GroupID{Name: "g-" + srv.id, Epoch: 1}, State: registry.Open, Model: model}
	}
	encoded, err := json.Marshal(record)
	require.NoError(s.t, err)
	s.store.Put("servers", srv.id, encoded)
}

func (srv *server) stop() { _ = srv.http.Close() }

func (srv *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	srv.mu.Lock()
	srv.received = append(srv.received, r.Header.Get("Id"))
	srv.mu.Unlock()
	defer func() {
		srv.mu.Lock()
		defer srv.mu.Unlock()
		srv.finished++
	}()
	// The HTTP server detects a cancelled request only after the body was read.
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("Id", r.Header.Get("Id"))
	srv.handler(w, r)
}

func (srv *server) requests() int {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	return len(srv.received)
}

// ended returns how many requests the server has ended.
func (srv *server) ended() int {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	return srv.finished
}

// ok sends a complete response.
func ok(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Receipt", "1")
	_, _ = io.WriteString(w, "done") // the test checks the received bytes
}

// events streams numbered events after the requested one, with a pause before
// each. After stallAfter events the stream stalls, like a group that lost a
// member.
func events(count int, stallAfter *int) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Receipt", "1")
		w.Header().Set("Content-Type", "text/event-stream")
		after, _ := strconv.Atoi(r.Header.Get("After")) // absent means from the start
		for i := after + 1; i <= count; i++ {
			if stallAfter != nil && i > *stallAfter {
				<-r.Context().Done()
				return
			}
			time.Sleep(40 * time.Millisecond)
			fmt.Fprintf(w, "id: %d\ndata: event %d\n\n", i, i)
			if http.NewResponseController(w).Flush() != nil {
				return
			}
		}
	}
}

// response is what a caller received. longestPause is the longest pause
// in it.
type response struct {
	status       int
	header       http.Header
	body         string
	err          error
	longestPause time.Duration
}

// call sends a request and reads its response.
func (s *site) call(ctx context.Context, method, path, id string, header map[string]string) response {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+callerAddress+path, strings.NewReader("body"))
	require.NoError(s.t, err)
	r.Host = "yard.example"
	r.Header.Set("Id", id)
	r.Header.Set("Key", key)
	r.Header.Set("Weights", "large")
	for name, value := range header {
		r.Header.Set(name, value)
	}
	last := time.Now()
	reply, err := s.client.Do(r)
	if err != nil {
		return response{err: err}
	}
	defer reply.Body.Close()
	got := response{status: reply.StatusCode, header: reply.Header}
	buf := make([]byte, 4096)
	for {
		n, err := reply.Body.Read(buf)
		got.longestPause = max(got.longestPause, time.Since(last))
		last = time.Now()
		got.body += string(buf[:n])
		if err == io.EOF {
			return got
		}
		if err != nil {
			got.err = err
			return got
		}
	}
}

// completeStream returns the text of a complete stream of count events.
func completeStream(count int) string {
	var b strings.Builder
	for i := 1; i <= count; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: event %d\n\n", i, i)
	}
	return b.String()
}
