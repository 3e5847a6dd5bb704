package standin

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

const (
	// memberProbeTTL is how long a probe result is reused.
	memberProbeTTL     = 100 * time.Millisecond
	memberProbeTimeout = 200 * time.Millisecond
)

// MemberProber probes the other members of a group over the network. It is for
// engines that run in separate processes.
type MemberProber struct {
	client *http.Client

	mu     sync.Mutex
	probes map[string]memberProbe
}

// memberProbe is the cached result of a probe.
type memberProbe struct {
	probedAt time.Time
	failed   bool
	health   engineHealthWire
}

// NewMemberProber returns a MemberProber without cached results.
func NewMemberProber() *MemberProber {
	return &MemberProber{
		client: &http.Client{Timeout: memberProbeTimeout}, probes: make(map[string]memberProbe),
	}
}

// Missing reports whether the member can't serve the group. Probe results are
// cached for memberProbeTTL.
func (m *MemberProber) Missing(address, group string, generation uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	result := m.probes[address]
	if time.Since(result.probedAt) > memberProbeTTL {
		result = m.probe(address)
		m.probes[address] = result
	}
	return result.failed || result.health.Group != group || result.health.Generation < generation
}

// probe requests the health of the engine at the address.
func (m *MemberProber) probe(address string) memberProbe {
	result := memberProbe{probedAt: time.Now(), failed: true}
	response, err := m.client.Get("http://" + address + "/health")
	if err != nil {
		return result
	}
	defer response.Body.Close()
	result.failed = json.NewDecoder(response.Body).Decode(&result.health) != nil
	return result
}
