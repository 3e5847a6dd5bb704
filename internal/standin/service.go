package standin

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/pkg/caller"
)

// RecordHeader is the header with the ID of the record that a call writes.
const RecordHeader = "X-Record-Id"

// ServiceFaults are the faults that a Service injects.
type ServiceFaults struct {
	// RejectNotRun returns status 503 and a header that says that the call did
	// not run.
	RejectNotRun bool `json:"refuse-not-run"`
	// LoseResponses closes the connection after the call ran.
	LoseResponses bool `json:"lose-answers"`
	// StatusLine replaces the status line of each response, also by one that no HTTP
	// server would send.
	StatusLine string `json:"status-line"`
	// LatencyMS delays each response, in milliseconds.
	LatencyMS int `json:"latency-ms"`
	// Leaving reports the service as shutting down in health responses.
	Leaving bool `json:"leaving"`
}

// Records counts how often the call of each record ran, across all replicas of a
// service. It is safe for concurrent use.
type Records struct {
	mu     sync.Mutex
	counts map[string]int
}

// NewRecords returns Records without counts.
func NewRecords() *Records {
	return &Records{counts: make(map[string]int)}
}

func (r *Records) add(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[id]++
}

// Count returns how often the call with the record ID ran.
func (r *Records) Count(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts[id]
}

// Service stands in for one replica of a plain HTTP service. It echoes the body
// of each call.
type Service struct {
	records *Records

	mu     sync.Mutex
	faults ServiceFaults
	calls  int
	mux    *http.ServeMux
}

// NewService returns a replica that counts its calls in records.
func NewService(records *Records) *Service {
	s := &Service{records: records, mux: http.NewServeMux()}
	s.mux.HandleFunc("/", s.serveRecord)
	s.mux.HandleFunc("GET /health", s.serveHealth)
	s.mux.HandleFunc("PUT /control", s.serveControl)
	s.mux.HandleFunc("GET /control/counts", s.serveCounts)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// SetFaults replaces the replica's faults.
func (s *Service) SetFaults(f ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Calls returns how many calls the replica received.
func (s *Service) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *Service) countCall() ServiceFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	return s.faults
}

func (s *Service) serveRecord(w http.ResponseWriter, r *http.Request) {
	faults := s.countCall()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(time.Duration(faults.LatencyMS) * time.Millisecond)
	if faults.RejectNotRun {
		w.Header().Set(caller.RunHeader, string(caller.NotRun))
		http.Error(w, "not now", http.StatusServiceUnavailable)
		return
	}
	if id := r.Header.Get(RecordHeader); id != "" && r.Method != http.MethodGet {
		s.records.add(id)
	}
	if faults.LoseResponses {
		panic(http.ErrAbortHandler)
	}
	if faults.StatusLine != "" {
		writeStatusLine(w, faults.StatusLine, body)
		return
	}
	w.Header().Set("Content-Type", r.Header.Get("Content-Type"))
	_, _ = w.Write(body)
}

// writeStatusLine sends a response with the status line as it is.
func writeStatusLine(w http.ResponseWriter, line string, body []byte) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	_, _ = fmt.Fprintf(conn, "%s\r\nContent-Length: %d\r\n\r\n%s", line, len(body), body)
}

func (s *Service) serveHealth(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	leaving := s.faults.Leaving
	s.mu.Unlock()
	writeJSON(w, engineHealthWire{State: "warm", Leaving: leaving})
}

func (s *Service) serveControl(w http.ResponseWriter, r *http.Request) {
	var faults ServiceFaults
	if readJSON(w, r, &faults) {
		s.SetFaults(faults)
	}
}

func (s *Service) serveCounts(w http.ResponseWriter, _ *http.Request) {
	s.records.mu.Lock()
	defer s.records.mu.Unlock()
	writeJSON(w, s.records.counts)
}
