package site_test

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuspulley/hibiscuspulley/internal/standin"
)

const (
	eventInterval     = 40 * time.Millisecond
	eventCount        = 15
	unaryDuration     = 15 * time.Millisecond
	heartbeatInterval = 1200 * time.Millisecond
	serverRecordTTL   = 3 * heartbeatInterval
	republishWithin   = 1500 * time.Millisecond
	coldTime          = 2 * time.Second
	coldRate          = 8
	notRunHeader      = "Not-Run"
	limitHeader       = "Limit"
	leavingHeader     = "Leaving"
)

// serverFaults are the injected faults of one backend server.
type serverFaults struct {
	// stalled servers are unresponsive and stall their groups.
	stalled bool
	// cut servers can't reach the store.
	cut bool
	// slow is a factor for all processing times.
	slow int
	// errorShare is the share of requests that fail while heartbeats are healthy.
	errorShare float64
	// loseResponse is the share of requests whose response is lost after they
	// were executed.
	loseResponse float64
	// corrupt is the share of responses that are truncated, have no signature,
	// belong to another request or are followed by extra bytes.
	corrupt float64
	// limit is the request limit that the server names, in requests per second.
	limit float64
	// saysLeaving servers say in their responses that they leave. Their records
	// don't.
	saysLeaving bool
	// asksUntil is until when the server rejects requests and asks for time.
	asksUntil time.Time
}

// server is the HTTP server of one incarnation of a backend server. The hosts
// hold its state.
type server struct {
	site        *site
	id          string
	listener    net.Listener
	http        *http.Server
	faults      serverFaults
	reportedAt  time.Time
	lastWritten string
	// republishAt is when the server notices that its record has expired and
	// writes it again.
	republishAt time.Time
	// goneAt is when the server's record was deleted. It is zero while it has one.
	goneAt time.Time
	// coldUntil is when the server's cold rate limit ends.
	coldUntil time.Time
}

// addHost starts a backend server at the host's address, or at a new one if the
// host has none.
func (s *site) addHost(h standin.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h.Address == "" {
		h.Address = s.newAddress()
	}
	s.hosts.Add(h)
	s.serve(h.ID, h.Address, h.Zone)
}

func (s *site) newAddress() string {
	s.lastHostNumber++
	return fmt.Sprintf("10.1.0.%d:80", s.lastHostNumber)
}

// serve starts the HTTP server of a host.
func (s *site) serve(id, address, zone string) {
	s.network.AssignZone(id, zone)
	l, err := s.network.Listener(id)("tcp", address)
	require.NoError(s.t, err)
	srv := &server{site: s, id: id, listener: l}
	srv.http = &http.Server{Handler: srv}
	s.servers[id] = srv
	go func() { _ = srv.http.Serve(l) }() // returns after close
}

func (srv *server) close() { _ = srv.http.Close() }

// crash ends a server's incarnation. With silent set its connections become
// silent instead of being closed.
func (s *site) crash(id string, silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, srv := s.hosts.ByID[id], s.servers[id]
	if h == nil || !h.Alive {
		return
	}
	h.Alive = false
	s.checker.incarnationLost(h)
	if silent {
		s.isolate(id)
	}
	srv.close()
}

// restart starts a server's next incarnation.
func (s *site) restart(id string, cold bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.hosts.ByID[id]
	if old == nil || old.Alive {
		return
	}
	s.reconnect(id)
	for _, other := range s.hosts.ByID {
		if other.ID != id && other.Address == old.Address {
			old.Address = s.newAddress() // another server uses the address now
			break
		}
	}
	h := s.hosts.Restart(id)
	s.serve(id, h.Address, h.Zone)
	if cold && h.Service == recordService {
		s.servers[id].coldUntil = time.Now().Add(coldTime)
	}
}

// isolate disconnects an endpoint from all zones. reconnect reverses it.
func (s *site) isolate(endpoint string) {
	for _, zone := range append(zones, callerEndpoint) {
		s.network.Partition(endpoint, zone)
	}
}

func (s *site) reconnect(endpoint string) {
	for _, zone := range append(zones, callerEndpoint) {
		s.network.EndPartition(endpoint, zone)
	}
}

// setFaults replaces a server's faults.
func (s *site) setFaults(id string, f serverFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	srv := s.servers[id]
	if srv == nil {
		return
	}
	if f.stalled != srv.faults.stalled {
		if f.stalled {
			s.isolate(id)
			s.checker.incarnationLost(s.hosts.ByID[id])
		} else {
			s.reconnect(id)
		}
	}
	if f.cut {
		s.checker.incarnationLost(s.hosts.ByID[id]) // executions at unreachable servers don't count as attempts
	}
	if f.limit != srv.faults.limit {
		s.checker.limitNamed(s.hosts.ByID[id], f.limit)
	}
	srv.faults = f
}

// advanceServers periodically advances the state of the hosts and publishes
// their server records.
func (s *site) advanceServers() {
	for !s.done() {
		time.Sleep(tick)
		s.mu.Lock()
		now := time.Now()
		s.hosts.Advance(now)
		for _, id := range s.hosts.IDs() {
			s.publish(s.hosts.ByID[id], s.servers[id], now)
		}
		s.mu.Unlock()
	}
}

// publish updates one server's record in the store: it writes changes at once
// and deletes the record of a server without heartbeats after serverRecordTTL.
func (s *site) publish(h *standin.Host, srv *server, now time.Time) {
	if s.storeUnavailable {
		return
	}
	notReporting := !h.Alive || srv.faults.stalled || srv.faults.cut
	lapsed := now.Sub(srv.reportedAt) > serverRecordTTL
	if lapsed && srv.lastWritten != "" {
		s.store.Delete(serverTable, h.ID)
		srv.lastWritten, srv.goneAt = "", now
		srv.republishAt = now.Add(time.Duration(s.rng.IntN(int(republishWithin))))
		return
	}
	if notReporting || now.Before(srv.republishAt) {
		return
	}
	entry := h.Record(time.Time{})
	entry.ColdUntil = srv.coldUntil
	encoded, err := json.Marshal(entry)
	require.NoError(s.t, err)
	if string(encoded) == srv.lastWritten && now.Sub(srv.reportedAt) < heartbeatInterval {
		return
	}
	srv.reportedAt = now
	if string(encoded) != srv.lastWritten {
		srv.goneAt = time.Time{}
		srv.lastWritten = string(encoded)
		s.store.Put(serverTable, h.ID, encoded)
	}
}
