package standin

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/pkg/caller"
)

// RecordHeader names the record that a call to the plain service writes.
const RecordHeader = "X-Record-Id"

// ServiceFaults are a plain service's settable faults.
type ServiceFaults struct {
	// RefuseNotRun answers 503 and states that the call did not run.
	RejectNotRun bool `json:"refuse-not-run"`
	// LoseAnswers drops the connection after the call ran.
	LoseResponses bool `json:"lose-answers"`
	// LatencyMS delays each answer, in milliseconds.
	LatencyMS int `json:"latency-ms"`
	// Leaving marks the service as shutting down.
	Leaving bool `json:"leaving"`
}

// Records counts how often each record ran, over all replicas of a service.
type Records struct {
	mu     sync.Mutex
	counts map[string]int
}

// NewRecords returns an empty count.
func NewRecords() *Records {
	return &Records{counts: make(map[string]int)}
}

func (r *Records) add(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[id]++
}

// Count returns how often the record ran.
func (r *Records) Count(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts[id]
}

// Service stands in for one replica of a plain service.
type Service struct {
	records *Records

	mu     sync.Mutex
	faults ServiceFaults
	calls  int
	mux    *http.ServeMux
}

// NewService returns a replica that counts into records.
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

func (s *Service) receive() ServiceFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	return s.faults
}

func (s *Service) serveRecord(w http.ResponseWriter, r *http.Request) {
	faults := s.receive()
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
	w.Header().Set("Content-Type", r.Header.Get("Content-Type"))
	_, _ = w.Write(body)
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
