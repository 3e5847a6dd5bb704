package site_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/hibiscuspulley/hibiscuspulley/internal/formation"
	"github.com/hibiscuspulley/hibiscuspulley/internal/gateway"
	"github.com/hibiscuspulley/hibiscuspulley/internal/registry"
	"github.com/hibiscuspulley/hibiscuspulley/internal/routes"
	"github.com/hibiscuspulley/hibiscuspulley/internal/store"
)

// storeClient returns a store client that blocks while the process is frozen and
// fails once it is dead.
func (p *process) storeClient() store.Client {
	m := p.machine
	c := m.site.store.Client(m.name)
	errEnded := errors.Wrap(store.ErrUnavailable, "the process has ended")
	return store.Client{
		Read: func(ctx context.Context, table, part, from string) (store.Page, error) {
			if !p.awaitThaw() {
				return store.Page{}, errEnded
			}
			page, err := c.Read(ctx, table, part, from)
			p.awaitThaw()
			return page, err
		},
		Feed: func(ctx context.Context, table string, after int64, wait time.Duration) (store.Page, error) {
			if !p.awaitThaw() {
				return store.Page{}, errEnded
			}
			page, err := c.Feed(ctx, table, after, wait)
			p.awaitThaw()
			return page, err
		},
		Commit: func(ctx context.Context, t store.Transaction) (int64, error) {
			if !p.awaitThaw() {
				return 0, errEnded
			}
			version, err := c.Commit(ctx, t)
			if err == nil && len(t.Puts) > 0 && t.Puts[0].Table == leaseTable {
				m.leaseWritten()
			}
			if !p.awaitThaw() {
				return 0, errEnded
			}
			return version, err
		},
	}
}

func (m *machine) leaseWritten() {
	m.mu.Lock()
	inject := m.afterLeaseWrite
	m.afterLeaseWrite = nil
	m.mu.Unlock()
	if inject != nil {
		inject()
	}
}

// platform returns the hosting platform's interface for the process.
func (s *site) platform(p *process) gateway.Platform {
	transport := &http.Transport{DialContext: p.dial, DisableKeepAlives: true}
	return gateway.Platform{
		Store: p.storeClient(), OperatorTable: operatorTable, ServerTable: serverTable,
		IsConfig:      func(key string) bool { return key == configKey },
		EvacuatedZone: func(key string) (string, bool) { return strings.CutPrefix(key, evacuationPrefix) },
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
		SendOrder: func(ctx context.Context, address string, o formation.Order) (formation.Outcome, error) {
			return s.sendOrder(ctx, p, transport, address, o)
		},
		FetchServer: func(ctx context.Context, cached registry.Server) (registry.Server, error) {
			var srv registry.Server
			err := callJSON(ctx, transport, cached.Address, "/report", nil, &srv)
			return srv, err
		},
		Protocol: protocol(),
	}
}

func protocol() gateway.Protocol {
	return gateway.Protocol{
		DecodeRequest: func(h http.Header) gateway.RequestInfo {
			ms, _ := strconv.Atoi(h.Get("Wait-Ms")) // absent means no timeout
			return gateway.RequestInfo{
				ID: h.Get("Id"), Key: h.Get("Key"), Timeout: time.Duration(ms) * time.Millisecond,
				Model: h.Get("Weights"), LastEventID: h.Get("After"), MaxTokens: eventCount, PromptParts: promptParts(h),
			}
		},
		Forward: func(h http.Header, f gateway.ForwardInfo) {
			h.Del("Key")
			h.Set("Organisation", f.Organisation)
			h.Set("Server", f.Server)
			h.Set("Wait-Ms", strconv.FormatInt(f.Timeout.Milliseconds(), 10))
			if f.LastEventID != "" {
				h.Set("After", f.LastEventID)
			}
		},
		DecodeResponse: func(h http.Header, status int) gateway.ResponseInfo {
			limit, _ := strconv.ParseFloat(h.Get(limitHeader), 64) // absent means no limit
			wait := time.Duration(0)
			if status == http.StatusServiceUnavailable {
				s, _ := strconv.ParseFloat(h.Get("Retry-After"), 64) // absent means no wait
				wait = time.Duration(s * float64(time.Second))
			}
			return gateway.ResponseInfo{
				ID: h.Get("Id"), Signed: h.Get("Receipt") != "", Limit: limit, Leaving: h.Get(leavingHeader) == "1", Wait: wait,
				NotRun: h.Get(notRunHeader) != "" || status == http.StatusMisdirectedRequest,
			}
		},
	}
}

// sendOrder sends an order to a server. Injected faults may delay or drop it.
func (s *site) sendOrder(ctx context.Context, p *process, transport *http.Transport, address string, o formation.Order) (formation.Outcome, error) {
	select {
	case <-p.dead:
		return formation.Unknown, errors.New("the process has ended")
	default:
	}
	before := time.Now()
	if !p.awaitThaw() {
		return formation.Unknown, errors.New("the process has ended")
	}
	if time.Since(before) > 0 { // the order was sent before the process froze
		s.applyOrder(o)
		return formation.Unknown, errors.New("no response in time")
	}
	s.mu.Lock()
	f := s.orderFaults
	s.mu.Unlock()
	switch {
	case s.chance(f.lost):
		<-ctx.Done()
		return formation.Unknown, ctx.Err()
	case s.chance(f.late):
		delay := time.Duration(s.intn(int(f.lateBy)))
		time.AfterFunc(delay, func() { s.applyOrder(o) })
		<-ctx.Done()
		return formation.Unknown, ctx.Err()
	}
	outcome := formation.Unknown
	err := callJSON(ctx, transport, address, "/order", o, &outcome)
	return outcome, err
}

// callJSON posts a JSON request to a server and decodes the response into
// result.
func callJSON(ctx context.Context, transport *http.Transport, address, path string, request, result any) error {
	encoded, err := json.Marshal(request)
	if err != nil {
		return err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(encoded))
	if err != nil {
		return err
	}
	response, err := transport.RoundTrip(r)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	return json.Unmarshal(body, result)
}

// controllerOf returns the machine that holds a zone's controller lease, nil if
// there is none.
func (s *site) controllerOf(zone string) *machine {
	lease, found := s.store.Get(store.RowKey{Table: leaseTable, Partition: zone, Key: "holder"})
	if !found {
		return nil
	}
	for _, m := range s.allMachines() {
		if strings.Contains(string(lease.Value), `"`+m.name+`"`) && m.zone == zone {
			return m
		}
	}
	return nil
}
