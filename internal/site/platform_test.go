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

// storeClient is the store as the process reaches it.
func (p *process) storeClient() store.Client {
	m := p.machine
	c := m.site.store.Client(m.name)
	gone := errors.Wrap(store.ErrUnavailable, "the process has ended")
	return store.Client{
		Read: func(ctx context.Context, table, part, from string) (store.Page, error) {
			if !p.await() {
				return store.Page{}, gone
			}
			page, err := c.Read(ctx, table, part, from)
			p.await()
			return page, err
		},
		Feed: func(ctx context.Context, table string, after int64, wait time.Duration) (store.Page, error) {
			if !p.await() {
				return store.Page{}, gone
			}
			page, err := c.Feed(ctx, table, after, wait)
			p.await()
			return page, err
		},
		Commit: func(ctx context.Context, t store.Transaction) (int64, error) {
			if !p.await() {
				return 0, gone
			}
			version, err := c.Commit(ctx, t)
			if err == nil && len(t.Puts) > 0 && t.Puts[0].Table == leaseTable {
				m.leaseWritten()
			}
			if !p.await() {
				return 0, gone
			}
			return version, err
		},
	}
}

func (m *machine) leaseWritten() {
	m.mu.Lock()
	strike := m.afterLease
	m.afterLease = nil
	m.mu.Unlock()
	if strike != nil {
		strike()
	}
}

// platform is the hosting platform as the process reaches it.
func (s *site) platform(p *process) gateway.Platform {
	transport := &http.Transport{DialContext: p.dial, DisableKeepAlives: true}
	return gateway.Platform{
		Store: p.storeClient(), OperatorTable: operatorTable, ServerTable: serverTable,
		IsConfig:      func(key string) bool { return key == configKey },
		EvacuatedZone: func(key string) (string, bool) { return strings.CutPrefix(key, outPrefix) },
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
		FetchServer: func(ctx context.Context, known registry.Server) (registry.Server, error) {
			var srv registry.Server
			err := ask(ctx, transport, known.Address, "/report", nil, &srv)
			return srv, err
		},
		Protocol: protocol(),
	}
}

func protocol() gateway.Protocol {
	return gateway.Protocol{
		DecodeRequest: func(h http.Header) gateway.RequestInfo {
			ms, _ := strconv.Atoi(h.Get("Wait-Ms")) // absent means no bound
			return gateway.RequestInfo{
				ID: h.Get("Id"), Key: h.Get("Key"), Timeout: time.Duration(ms) * time.Millisecond,
				Model: h.Get("Weights"), LastEventID: h.Get("After"), MaxTokens: eventCount,
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
			return gateway.ResponseInfo{
				ID: h.Get("Id"), Signed: h.Get("Receipt") != "",
				NotRun: h.Get(notRunHeader) != "" || status == http.StatusMisdirectedRequest,
			}
		},
	}
}

// sendOrder gives an order to a server, unless the faults hold it up.
func (s *site) sendOrder(ctx context.Context, p *process, transport *http.Transport, address string, o formation.Order) (formation.Outcome, error) {
	select {
	case <-p.dead:
		return formation.Unknown, errors.New("the process has ended")
	default:
	}
	frozen := time.Now()
	if !p.await() {
		return formation.Unknown, errors.New("the process has ended")
	}
	if time.Since(frozen) > 0 { // the order had left the process before it froze
		s.applyOrder(o)
		return formation.Unknown, errors.New("no answer in time")
	}
	s.mu.Lock()
	f := s.orders
	s.mu.Unlock()
	switch {
	case s.chance(f.lost):
		<-ctx.Done()
		return formation.Unknown, ctx.Err()
	case s.chance(f.late):
		late := time.Duration(s.intn(int(f.lateBy)))
		time.AfterFunc(late, func() { s.applyOrder(o) })
		<-ctx.Done()
		return formation.Unknown, ctx.Err()
	}
	outcome := formation.Unknown
	err := ask(ctx, transport, address, "/order", o, &outcome)
	return outcome, err
}

// ask posts a question to a server and decodes its answer.
func ask(ctx context.Context, transport *http.Transport, address, path string, question, answer any) error {
	encoded, err := json.Marshal(question)
	if err != nil {
		return err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(encoded))
	if err != nil {
		return err
	}
	reply, err := transport.RoundTrip(r)
	if err != nil {
		return err
	}
	defer reply.Body.Close()
	body, err := io.ReadAll(reply.Body)
	if err != nil {
		return err
	}
	return json.Unmarshal(body, answer)
}

// stewardOf returns the machine that holds a zone's lease.
func (s *site) stewardOf(zone string) *machine {
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
