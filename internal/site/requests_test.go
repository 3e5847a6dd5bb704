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

// ServeHTTP handles requests, orders and server record queries.
func (srv *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	switch {
	case r.URL.Path == "/order":
		srv.order(w, body)
	case r.URL.Path == "/report":
		srv.serverRecord(w)
	case r.Header.Get("Server") != srv.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
	case strings.HasPrefix(r.URL.Path, "/notes/"):
		srv.stream(w, r)
	default:
		srv.unary(w, r)
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
		_, _ = w.Write(encoded) // a controller that loses the response sends the order again
	}
}

func (srv *server) serverRecord(w http.ResponseWriter) {
	s := srv.site
	s.mu.Lock()
	encoded, err := json.Marshal(s.hosts.ByID[srv.id].Record(time.Now()))
	s.mu.Unlock()
	if err == nil {
		_, _ = w.Write(encoded) // an entry that loses the response queries again
	}
}

// admit records a request's arrival and returns the server's injected faults. It
// returns false, with the status already sent, if the request is rejected without
// being executed.
func (srv *server) admit(w http.ResponseWriter, r *http.Request) (serverFaults, bool) {
	s := srv.site
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.hosts.ByID[srv.id]
	s.checker.requestArrived(r.Header, h, srv.coldUntil)
	s.checkRecord(r.Header.Get("Id"), srv)
	if srv.faults.limit > 0 {
		w.Header().Set(limitHeader, strconv.FormatFloat(srv.faults.limit, 'f', 2, 64))
	}
	if srv.faults.saysLeaving {
		w.Header().Set(leavingHeader, "1")
		s.checker.leavingSaid(h.ID)
	}
	if left := time.Until(srv.faults.asksUntil); left > 0 {
		s.checker.askedForTime(h.ID)
		w.Header().Set(notRunHeader, "1")
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Retry-After", strconv.FormatFloat(left.Seconds(), 'f', 3, 64))
		w.WriteHeader(http.StatusServiceUnavailable)
		return srv.faults, false
	}
	if h.Service == streamService {
		m := h.Member
		if m == nil || m.State != registry.Open || m.Members[0] != h.ID || m.Model != r.Header.Get("Weights") {
			w.Header().Set(notRunHeader, "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return srv.faults, false
		}
		h.InProgress++
	}
	s.checker.requestStarted(r.Header, h)
	return srv.faults, true
}

// requestEnded counts a stream that admit counted as in progress as ended.
func (s *site) requestEnded(h *standin.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h.InProgress--
}

// unary executes a non-streaming request.
func (srv *server) unary(w http.ResponseWriter, r *http.Request) {
	faults, ok := srv.admit(w, r)
	if !ok {
		return
	}
	s := srv.site
	id := r.Header.Get("Id")
	time.Sleep(unaryDuration * time.Duration(max(faults.slow, 1)))
	s.waitWhileStalled(srv, r)
	switch {
	case s.chance(faults.errorShare):
		w.Header().Set("Id", id)
		w.Header().Set("Receipt", "1")
		w.WriteHeader(http.StatusInternalServerError)
		return
	case s.chance(faults.loseResponse):
		panic(http.ErrAbortHandler)
	}
	body := "done " + id
	corruption := -1
	if s.chance(faults.corrupt) {
		corruption = s.intn(4)
	}
	w.Header().Set("Id", id)
	w.Header().Set("Receipt", "1")
	switch corruption {
	case 0:
		w.Header().Set("Content-Length", strconv.Itoa(len(body)+5)) // the body is shorter than announced
	case 1:
		w.Header().Del("Receipt") // the response has no signature
	case 2:
		w.Header().Set("Id", "another") // the response belongs to another request
		body = "done another"
	case 3:
		srv.writeTwice(w, id, body)
		return
	}
	_, _ = io.WriteString(w, body) // fails if the caller has gone
}

// writeTwice sends a response followed by an unsolicited second response.
func (srv *server) writeTwice(w http.ResponseWriter, id, body string) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	response := fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nReceipt: 1\r\n", id)
	if limit := w.Header().Get(limitHeader); limit != "" {
		response += limitHeader + ": " + limit + "\r\n"
	}
	response += fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	_, _ = io.WriteString(conn, response+strings.ReplaceAll(response, id, "another")) // fails if the reader has gone
}

// waitWhileStalled holds a request while its server is stalled.
func (s *site) waitWhileStalled(srv *server, r *http.Request) {
	for r.Context().Err() == nil {
		s.mu.Lock()
		stalled := srv.faults.stalled
		s.mu.Unlock()
		if !stalled {
			return
		}
		time.Sleep(tick)
	}
}

// stream writes the numbered events that follow the requested position.
func (srv *server) stream(w http.ResponseWriter, r *http.Request) {
	s := srv.site
	s.mu.Lock()
	h := s.hosts.ByID[srv.id]
	s.mu.Unlock()
	faults, ok := srv.admit(w, r)
	if !ok {
		return
	}
	defer s.requestEnded(h)
	id := r.Header.Get("Id")
	if s.chance(faults.errorShare) {
		w.Header().Set("Id", id)
		w.Header().Set("Receipt", "1")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	cutAt := -1
	// A lost and a corrupt stream are both cut in the middle of an event.
	if s.chance(faults.loseResponse + faults.corrupt) {
		cutAt = s.intn(eventCount)
	}
	s.mu.Lock()
	m := h.Member
	s.mu.Unlock()
	w.Header().Set("Id", id)
	w.Header().Set("Receipt", "1")
	w.Header().Set("Content-Type", "text/event-stream")
	after, _ := strconv.Atoi(r.Header.Get("After")) // absent means from the start
	for i := after + 1; i <= eventCount; i++ {
		time.Sleep(eventInterval * time.Duration(max(faults.slow, 1)))
		if !s.waitForGroup(h, m, r) || s.crashedBy(srv.id, r.Header) {
			panic(http.ErrAbortHandler)
		}
		s.checker.eventWritten(id)
		text := eventText(i, id)
		if i == cutAt {
			text = text[:len(text)/2]
		}
		_, err := io.WriteString(w, text)
		if err != nil || http.NewResponseController(w).Flush() != nil {
			return
		}
		if i == cutAt {
			panic(http.ErrAbortHandler)
		}
	}
}

func eventText(i int, id string) string {
	return fmt.Sprintf("id: %d\ndata: event %d of %s\n\n", i, i, id)
}

// waitForGroup waits while a member of the group is stalled or down. It returns
// false if the leader stops serving the group or the request ends.
func (s *site) waitForGroup(h *standin.Host, m *standin.HostMembership, r *http.Request) bool {
	for r.Context().Err() == nil {
		s.mu.Lock()
		serves := h.Alive && h.Member == m && (m.State == registry.Open || m.State == registry.Closing)
		stalled := !s.hosts.Complete(m)
		for _, id := range m.Members {
			stalled = stalled || s.servers[id] == nil || s.servers[id].faults.stalled
		}
		s.mu.Unlock()
		if !serves {
			return false
		}
		if !stalled {
			return true
		}
		time.Sleep(tick)
	}
	return false
}
