package operator

type peerStatusWire struct {
	Entry     string `json:"entry"`
	Zone      string `json:"zone"`
	Address   string `json:"address"`
	Connected bool   `json:"connected"`
}

type groupStatusWire struct {
	Name       string   `json:"name"`
	Service    string   `json:"service"`
	Zone       string   `json:"zone"`
	Domain     string   `json:"domain"`
	Owner      string   `json:"owner"`
	Generation uint64   `json:"generation"`
	Members    []string `json:"members"`
	Credits    int      `json:"credits"`
	InFlight   int      `json:"in-flight"`
	Valid      bool     `json:"valid"`
	Cold       bool     `json:"cold"`
	DowntimeMS int64    `json:"downtime-ms"`
}

type statusWire struct {
	Entry             string            `json:"entry"`
	Zone              string            `json:"zone"`
	Revision          uint64            `json:"revision"`
	Ready             bool              `json:"ready"`
	PlatformReachable bool              `json:"platform-reachable"`
	SessionEpoch      uint64            `json:"session-epoch"`
	Peers             []peerStatusWire  `json:"peers"`
	Groups            []groupStatusWire `json:"groups"`
}

type instanceStatusWire struct {
	Name        string `json:"name"`
	Address     string `json:"address"`
	Zone        string `json:"zone"`
	Domain      string `json:"domain,omitempty"`
	Service     string `json:"service,omitempty"`
	Group       string `json:"group,omitempty"`
	Leaving     bool   `json:"leaving"`
	Drained     bool   `json:"drained"`
	Held        bool   `json:"held"`
	Quarantined bool   `json:"quarantined"`
}

type confirmationWire struct {
	Entry    string `json:"entry"`
	Zone     string `json:"zone"`
	Revision uint64 `json:"revision"`
	Reached  bool   `json:"reached"`
}

type configurationWire struct {
	Revision uint64       `json:"revision"`
	Defaults defaultsWire `json:"defaults"`
	Changes  []changeWire `json:"changes"`
}

type problemWire struct {
	Error    string      `json:"error"`
	Problems []string    `json:"problems,omitempty"`
	Conflict *changeWire `json:"conflict,omitempty"`
}
