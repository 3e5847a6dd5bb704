package standin

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

const (
	memberAskInterval = 100 * time.Millisecond
	memberAskTimeout  = 200 * time.Millisecond
)

// MemberProber asks the other members of a group over the network whether
// they are in place, for engines that run in processes of their own.
type MemberProber struct {
	client *http.Client

	mu   sync.Mutex
	seen map[string]memberSighting
}

type memberSighting struct {
	at      time.Time
	missing bool
	health  engineHealthWire
}

// NewMemberProber returns a MemberWatcher.
func NewMemberProber() *MemberProber {
	return &MemberProber{
		client: &http.Client{Timeout: memberAskTimeout}, seen: make(map[string]memberSighting),
	}
}

// Missing reports whether the member can't serve the group. Answers are kept
// for a short time.
func (m *MemberProber) Missing(address, group string, generation uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	seen := m.seen[address]
	if time.Since(seen.at) > memberAskInterval {
		seen = m.ask(address)
		m.seen[address] = seen
	}
	return seen.missing || seen.health.Group != group || seen.health.Generation < generation
}

func (m *MemberProber) ask(address string) memberSighting {
	seen := memberSighting{at: time.Now(), missing: true}
	reply, err := m.client.Get("http://" + address + "/health")
	if err != nil {
		return seen
	}
	defer reply.Body.Close()
	seen.missing = json.NewDecoder(reply.Body).Decode(&seen.health) != nil
	return seen
}
