package site_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/internal/formation"
	"github.com/hibiscuspulley/hibiscuspulley/internal/registry"
	"github.com/hibiscuspulley/hibiscuspulley/internal/standin"
)

// ServeHTTP answers requests, orders and questions.
func (srv *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	switch {
	case r.URL.Path == "/order":
		srv.order(w, body)
	case r.URL.Path == "/report":
		srv.report(w)
	case r.Header.Get("Server") != srv.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
	case strings.HasPrefix(r.URL.Path, "/notes/"):
		srv.stream(w, r)
	default:
		srv.record(w, r)
	}
}

func (srv *server) order(w http.ResponseWriter, body []byte) {
	var o formation.Order
	if json.Unmarshal(body, &o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s := srv.site
	outcome := formation.OtherServer
	if o.Server == srv.id {
		outcome = s.applyOrder(o)
	}
	encoded, err := json.Marshal(outcome)
	if err == nil {
		_, _ = w.Write(encoded) // a steward that has gone asks again
	}
}

func (srv *server) report(w http.ResponseWriter) {
	s := srv.site
	s.mu.Lock()
	encoded, err := json.Marshal(s.hosts.ByID[srv.id].Record(time.Now()))
	s.mu.Unlock()
	if err == nil {
		_, _ = w.Write(encoded) // whoever has gone asks again
	}
}

// begin notes a request's arrival. It returns false if the request is not run.
func (srv *server) begin(w http.ResponseWriter, r *http.Request) (serverFaults, bool) {
	s := srv.site
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.hosts.ByID[srv.id]
	s.witness.arrived(r.Header, h, srv.coldUntil)
	if h.Service == streams {
		m := h.Member
		if m == nil || m.State != registry.Open || m.Members[0] != h.ID || m.Model != r.Header.Get("Weights") {
			w.Header().Set(notRunHeader, "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return srv.faults, false
		}
	}
	s.witness.ran(r.Header, h)
	return srv.faults, true
}

// record runs a plain request.
func (srv *server) record(w http.ResponseWriter, r *http.Request) {
	f, ok := srv.begin(w, r)
	if !ok {
		return
	}
	s := srv.site
	id := r.Header.Get("Id")
	time.Sleep(recordTime * time.Duration(max(f.slow, 1)))
	s.waitLight(srv, r)
	switch {
	case s.chance(f.grey):
		w.Header().Set("Id", id)
		w.Header().Set("Receipt", "1")
		w.WriteHeader(http.StatusInternalServerError)
		return
	case s.chance(f.loseAnswer):
		panic(http.ErrAbortHandler)
	}
	body := "done " + id
	garbled := -1
	if s.chance(f.garble) {
		garbled = s.intn(4)
	}
	w.Header().Set("Id", id)
	w.Header().Set("Receipt", "1")
	switch garbled {
	case 0:
		w.Header().Set("Content-Length", strconv.Itoa(len(body)+5)) // breaks off
	case 1:
		w.Header().Del("Receipt")
	case 2:
		w.Header().Set("Id", "another")
		body = "done another"
	case 3:
		srv.writeTwice(w, id, body)
		return
	}
	_, _ = io.WriteString(w, body) // a caller that has gone takes nothing
}

// writeTwice sends an answer with a second one behind it that nobody asked for.
func (srv *server) writeTwice(w http.ResponseWriter, id, body string) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nReceipt: 1\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
	_, _ = io.WriteString(conn, answer+strings.ReplaceAll(answer, id, "another")) // the reader may have gone
}

// waitLight holds a request while its server is dark.
func (s *site) waitLight(srv *server, r *http.Request) {
	for r.Context().Err() == nil {
		s.mu.Lock()
		dark := srv.faults.dark
		s.mu.Unlock()
		if !dark {
			return
		}
		time.Sleep(tick)
	}
}

// stream writes numbered events behind the asked one.
func (srv *server) stream(w http.ResponseWriter, r *http.Request) {
	f, ok := srv.begin(w, r)
	if !ok {
		return
	}
	s := srv.site
	id := r.Header.Get("Id")
	if s.chance(f.grey) {
		w.Header().Set("Id", id)
		w.Header().Set("Receipt", "1")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	torn := -1
	if s.chance(f.loseAnswer + f.garble) {
		torn = s.intn(eventCount)
	}
	s.mu.Lock()
	h := s.hosts.ByID[srv.id]
	m := h.Member
	s.mu.Unlock()
	w.Header().Set("Id", id)
	w.Header().Set("Receipt", "1")
	w.Header().Set("Content-Type", "text/event-stream")
	after, _ := strconv.Atoi(r.Header.Get("After")) // absent means from the start
	for i := after + 1; i <= eventCount; i++ {
		time.Sleep(eventPause * time.Duration(max(f.slow, 1)))
		if !s.standing(h, m, r) {
			panic(http.ErrAbortHandler)
		}
		s.witness.wrote(id)
		text := eventText(i, id)
		if i == torn {
			text = text[:len(text)/2]
		}
		_, err := io.WriteString(w, text)
		if err != nil || http.NewResponseController(w).Flush() != nil {
			return
		}
		if i == torn {
			panic(http.ErrAbortHandler)
		}
	}
}

func eventText(i int, id string) string {
	return fmt.Sprintf("id: %d\ndata: event %d of %s\n\n", i, i, id)
}

// standing waits while a member of the group is silent. It returns false once
// the leader serves the group no more, or the request has ended.
func (s *site) standing(h *standin.Host, m *standin.HostMembership, r *http.Request) bool {
	for r.Context().Err() == nil {
		s.mu.Lock()
		serves := h.Alive && h.Member == m && m.State == registry.Open
		still := !s.hosts.Complete(m)
		for _, id := range m.Members {
			still = still || s.servers[id] == nil || s.servers[id].faults.dark
		}
		s.mu.Unlock()
		if !serves {
			return false
		}
		if !still {
			return true
		}
		time.Sleep(tick)
	}
	return false
}
