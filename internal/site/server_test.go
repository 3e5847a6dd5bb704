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
	eventPause   = 40 * time.Millisecond
	eventCount   = 15
	recordTime   = 15 * time.Millisecond
	reportEvery  = 1200 * time.Millisecond
	entryLapse   = 3 * reportEvery
	backWithin   = 1500 * time.Millisecond
	coldTime     = 2 * time.Second
	coldRate     = 8
	notRunHeader = "Not-Run"
)

// serverFaults is how one backend server misbehaves.
type serverFaults struct {
	// dark servers are silent; they stand still, and so do their groups.
	dark bool
	// cut servers don't reach the store.
	cut bool
	// slow multiplies all times.
	slow int
	// grey is the share of requests that fail, with good reports.
	grey float64
	// loseAnswer is the share of requests whose answers are lost once they ran.
	loseAnswer float64
	// garble is the share of answers that are broken, have no receipt, belong
	// to another request, or have extra bytes behind them.
	garble float64
}

// server is the process of a backend server, behind its host's state.
type server struct {
	site     *site
	id       string
	listener net.Listener
	http     *http.Server
	faults   serverFaults
	reported time.Time
	written  string
	// backAt is when it next notices that its entry is gone.
	backAt time.Time
	// coldUntil is the end of the time in which it bears little.
	coldUntil time.Time
}

// addHost starts a backend server at a new address, or at that of the host.
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
	s.lastHost++
	return fmt.Sprintf("10.1.0.%d:80", s.lastHost)
}

// serve opens the address of a host that runs.
func (s *site) serve(id, address, zone string) {
	s.network.AssignZone(id, zone)
	l, err := s.network.Listener(id)("tcp", address)
	require.NoError(s.t, err)
	srv := &server{site: s, id: id, listener: l}
	srv.http = &http.Server{Handler: srv}
	s.servers[id] = srv
	go func() { _ = srv.http.Serve(l) }() // ends with close
}

func (srv *server) close() { _ = srv.http.Close() }

// crash ends a server's lifetime. Dark ones fall silent instead of closing
// their connections.
func (s *site) crash(id string, dark bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, srv := s.hosts.ByID[id], s.servers[id]
	if h == nil || !h.Alive {
		return
	}
	h.Alive = false
	s.witness.ended(h)
	if dark {
		s.cutOff(id)
	}
	srv.close()
}

// restart begins a server's next lifetime.
func (s *site) restart(id string, cold bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.hosts.ByID[id]
	if old == nil || old.Alive {
		return
	}
	s.bringBack(id)
	for _, other := range s.hosts.ByID {
		if other.ID != id && other.Address == old.Address {
			old.Address = s.newAddress() // another server has it now
			break
		}
	}
	h := s.hosts.Restart(id)
	s.serve(id, h.Address, h.Zone)
	if cold && h.Service == records {
		s.servers[id].coldUntil = time.Now().Add(coldTime)
	}
}

// cutOff separates a place from all zones, bringBack ends that.
func (s *site) cutOff(place string) {
	for _, zone := range append(zones, callerPlace) {
		s.network.Partition(place, zone)
	}
}

func (s *site) bringBack(place string) {
	for _, zone := range append(zones, callerPlace) {
		s.network.EndPartition(place, zone)
	}
}

// setFaults changes how a server misbehaves.
func (s *site) setFaults(id string, f serverFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	srv := s.servers[id]
	if srv == nil {
		return
	}
	if f.dark != srv.faults.dark {
		if f.dark {
			s.cutOff(id)
			s.witness.ended(s.hosts.ByID[id])
		} else {
			s.bringBack(id)
		}
	}
	if f.cut {
		s.witness.ended(s.hosts.ByID[id]) // servers that were cut off don't count as attempts
	}
	srv.faults = f
}

// moveServers lets time pass for the servers and their entries in the store.
func (s *site) moveServers() {
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

// publish brings one server's entry up to date: a change is told at once, and
// the entry of a server that tells nothing lapses.
func (s *site) publish(h *standin.Host, srv *server, now time.Time) {
	if s.storeOut {
		return
	}
	silent := !h.Alive || srv.faults.dark || srv.faults.cut
	lapsed := now.Sub(srv.reported) > entryLapse
	if lapsed && srv.written != "" {
		s.store.Delete(serverTable, h.ID)
		srv.written = ""
		srv.backAt = now.Add(time.Duration(s.rng.IntN(int(backWithin))))
		return
	}
	if silent || now.Before(srv.backAt) {
		return
	}
	entry := h.Record(time.Time{})
	entry.ColdUntil = srv.coldUntil
	encoded, err := json.Marshal(entry)
	require.NoError(s.t, err)
	if string(encoded) == srv.written && now.Sub(srv.reported) < reportEvery {
		return
	}
	srv.reported = now
	if string(encoded) != srv.written {
		srv.written = string(encoded)
		s.store.Put(serverTable, h.ID, encoded)
	}
}
