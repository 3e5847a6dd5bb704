package standin

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

const (
	memberProbeTTL     = 100 * time.Millisecond
	memberProbeTimeout = 200 * time.Millisecond
)

// MemberProber asks the other members of a group over the network whether
// they are in place, for engines that run in processes of their own.
type MemberProber struct {
	client *http.Client

	mu     sync.Mutex
	probes map[string]memberProbe
}

type memberProbe struct {
	probedAt time.Time
	failed   bool
	health   engineHealthWire
}

// NewMemberProber returns a MemberWatcher.
func NewMemberProber() *MemberProber {
	return &MemberProber{
		client: &http.Client{Timeout: memberProbeTimeout}, probes: make(map[string]memberProbe),
	}
}

// Missing reports whether the member can't serve the group. Answers are kept
// for a short time.
func (m *MemberProber) Missing(address, group string, generation uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	seen := m.probes[address]
	if time.Since(seen.probedAt) > memberProbeTTL {
		seen = m.probe(address)
		m.probes[address] = seen
	}
	return seen.failed || seen.health.Group != group || seen.health.Generation < generation
}

func (m *MemberProber) probe(address string) memberProbe {
	seen := memberProbe{probedAt: time.Now(), failed: true}
	reply, err := m.client.Get("http://" + address + "/health")
	if err != nil {
		return seen
	}
	defer reply.Body.Close()
	seen.failed = json.NewDecoder(reply.Body).Decode(&seen.health) != nil
	return seen
}
