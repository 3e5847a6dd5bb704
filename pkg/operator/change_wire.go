package operator

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

type routeWire struct {
	Method     string `json:"method,omitempty"`
	PathPrefix string `json:"path-prefix,omitempty"`
	Idempotent bool   `json:"idempotent"`
}

type zoneGroupsWire struct {
	Zone  string `json:"zone"`
	Count int    `json:"count"`
}

type serviceWire struct {
	Name            string           `json:"name"`
	Kind            string           `json:"kind"`
	Model           string           `json:"model,omitempty"`
	GroupSize       int              `json:"group-size,omitempty"`
	Groups          []zoneGroupsWire `json:"groups,omitempty"`
	Slots           int              `json:"slots,omitempty"`
	ColdLimit       int              `json:"cold-limit,omitempty"`
	Routes          []routeWire      `json:"routes,omitempty"`
	FirstTokenMS    int64            `json:"first-token-ms,omitempty"`
	BetweenTokensMS int64            `json:"between-tokens-ms,omitempty"`
	Target          float64          `json:"target,omitempty"`
}

type organisationWire struct {
	Name      string   `json:"name"`
	KeyHashes []string `json:"key-hashes"`
}

type zoneWire struct {
	Name string `json:"name"`
	Out  bool   `json:"out"`
}

type instanceWire struct {
	Name    string `json:"name"`
	Drained bool   `json:"drained"`
	Held    bool   `json:"held"`
}

type defaultsWire struct {
	Weight           int   `json:"weight"`
	MaxInFlight      int   `json:"max-in-flight"`
	RetryPercent     int   `json:"retry-percent"`
	RequestTimeoutMS int64 `json:"request-timeout-ms"`
}

type exceptionWire struct {
	Name         string `json:"name"`
	Organisation string `json:"organisation"`
	Setting      string `json:"setting"`
	Value        int    `json:"value"`
}

type changeWire struct {
	Revision     uint64            `json:"revision,omitempty"`
	Base         uint64            `json:"base,omitempty"`
	Attempt      string            `json:"attempt,omitempty"`
	Author       string            `json:"author"`
	Reason       string            `json:"reason,omitempty"`
	At           time.Time         `json:"at"`
	Kind         string            `json:"kind"`
	Name         string            `json:"name"`
	Deleted      bool              `json:"deleted,omitempty"`
	Service      *serviceWire      `json:"service,omitempty"`
	Organisation *organisationWire `json:"organisation,omitempty"`
	Zone         *zoneWire         `json:"zone,omitempty"`
	Instance     *instanceWire     `json:"instance,omitempty"`
	Defaults     *defaultsWire     `json:"defaults,omitempty"`
	Exception    *exceptionWire    `json:"exception,omitempty"`
}

// EncodeChange encodes a change as JSON.
func EncodeChange(c Change) []byte {
	encoded, err := json.Marshal(changeToWire(c))
	if err != nil {
		panic(err) // marshalling plain data cannot fail
	}
	return encoded
}

// DecodeChange decodes a change from JSON.
func DecodeChange(encoded []byte) (Change, error) {
	var w changeWire
	if err := json.Unmarshal(encoded, &w); err != nil {
		return Change{}, errors.Wrap(err, "decode the change")
	}
	return changeFromWire(w), nil
}

func changeToWire(c Change) changeWire {
	w := changeWire{
		Revision: c.Revision, Base: c.Base, Attempt: c.Attempt,
		Author: c.Author, Reason: c.Reason, At: c.At,
		Kind: string(c.Kind), Name: c.Name, Deleted: c.Deleted,
	}
	if c.Service != nil {
		w.Service = serviceToWire(*c.Service)
	}
	if c.Organisation != nil {
		w.Organisation = &organisationWire{Name: c.Organisation.Name, KeyHashes: c.Organisation.KeyHashes}
	}
	if c.Zone != nil {
		w.Zone = &zoneWire{Name: c.Zone.Name, Out: c.Zone.Out}
	}
	if c.Instance != nil {
		w.Instance = &instanceWire{Name: c.Instance.Name, Drained: c.Instance.Drained, Held: c.Instance.Held}
	}
	if c.Defaults != nil {
		w.Defaults = defaultsToWire(*c.Defaults)
	}
	if e := c.Exception; e != nil {
		w.Exception = &exceptionWire{
			Name: e.Name, Organisation: e.Organisation, Setting: string(e.Setting), Value: e.Value,
		}
	}
	return w
}

func changeFromWire(w changeWire) Change {
	c := Change{
		Revision: w.Revision, Base: w.Base, Attempt: w.Attempt,
		Author: w.Author, Reason: w.Reason, At: w.At,
		Kind: Kind(w.Kind), Name: w.Name, Deleted: w.Deleted,
	}
	if w.Service != nil {
		c.Service = serviceFromWire(*w.Service)
	}
	if w.Organisation != nil {
		c.Organisation = &Organisation{Name: w.Organisation.Name, KeyHashes: w.Organisation.KeyHashes}
	}
	if w.Zone != nil {
		c.Zone = &Zone{Name: w.Zone.Name, Out: w.Zone.Out}
	}
	if w.Instance != nil {
		c.Instance = &Instance{Name: w.Instance.Name, Drained: w.Instance.Drained, Held: w.Instance.Held}
	}
	if w.Defaults != nil {
		c.Defaults = defaultsFromWire(*w.Defaults)
	}
	if e := w.Exception; e != nil {
		c.Exception = &Exception{
			Name: e.Name, Organisation: e.Organisation, Setting: Setting(e.Setting), Value: e.Value,
		}
	}
	return c
}

func serviceToWire(s Service) *serviceWire {
	w := &serviceWire{
		Name: s.Name, Kind: string(s.Kind), Model: s.Model,
		GroupSize: s.GroupSize, Slots: s.Slots, ColdLimit: s.ColdLimit,
		FirstTokenMS:    s.Objectives.FirstToken.Milliseconds(),
		BetweenTokensMS: s.Objectives.BetweenTokens.Milliseconds(),
		Target:          s.Objectives.Target,
	}
	for _, z := range s.Groups {
		w.Groups = append(w.Groups, zoneGroupsWire{Zone: z.Zone, Count: z.Count})
	}
	for _, r := range s.Routes {
		w.Routes = append(w.Routes, routeWire{Method: r.Method, PathPrefix: r.PathPrefix, Idempotent: r.Idempotent})
	}
	return w
}

func serviceFromWire(w serviceWire) *Service {
	s := &Service{
		Name: w.Name, Kind: ServiceKind(w.Kind), Model: w.Model,
		GroupSize: w.GroupSize, Slots: w.Slots, ColdLimit: w.ColdLimit,
		Objectives: Objectives{
			FirstToken:    time.Duration(w.FirstTokenMS) * time.Millisecond,
			BetweenTokens: time.Duration(w.BetweenTokensMS) * time.Millisecond,
			Target:        w.Target,
		},
	}
	for _, z := range w.Groups {
		s.Groups = append(s.Groups, ZoneGroups{Zone: z.Zone, Count: z.Count})
	}
	for _, r := range w.Routes {
		s.Routes = append(s.Routes, Route{Method: r.Method, PathPrefix: r.PathPrefix, Idempotent: r.Idempotent})
	}
	return s
}

func defaultsToWire(d Defaults) *defaultsWire {
	return &defaultsWire{
		Weight: d.Weight, MaxInFlight: d.MaxInFlight, RetryPercent: d.RetryPercent,
		RequestTimeoutMS: d.RequestTimeout.Milliseconds(),
	}
}

func defaultsFromWire(w defaultsWire) *Defaults {
	return &Defaults{
		Weight: w.Weight, MaxInFlight: w.MaxInFlight, RetryPercent: w.RetryPercent,
		RequestTimeout: time.Duration(w.RequestTimeoutMS) * time.Millisecond,
	}
}
