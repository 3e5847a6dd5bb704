package service

import "github.com/hibiscuspulley/hibiscuspulley/pkg/operator"

type groupsWire struct {
	Zone  string `json:"zone"`
	Count int    `json:"count"`
}

type routeWire struct {
	Method     string `json:"method"`
	PathPrefix string `json:"path-prefix"`
	Idempotent bool   `json:"idempotent"`
}

type serviceWire struct {
	Name            string       `json:"name"`
	Kind            string       `json:"kind"`
	Model           string       `json:"model"`
	GroupSize       int          `json:"group-size"`
	Groups          []groupsWire `json:"groups"`
	Slots           int          `json:"slots"`
	ColdLimit       int          `json:"cold-limit"`
	Routes          []routeWire  `json:"routes"`
	FirstTokenMS    int64        `json:"first-token-ms"`
	BetweenTokensMS int64        `json:"between-tokens-ms"`
	Target          float64      `json:"target"`
}

// toWire converts a service to the form that the commands print.
func toWire(s operator.Service) serviceWire {
	w := serviceWire{
		Name: s.Name, Kind: string(s.Kind), Model: s.EngineModel(), GroupSize: s.GroupSize,
		Groups: []groupsWire{}, Slots: s.Slots, ColdLimit: s.ColdLimit, Routes: []routeWire{},
		FirstTokenMS:    s.Objectives.FirstToken.Milliseconds(),
		BetweenTokensMS: s.Objectives.BetweenTokens.Milliseconds(),
		Target:          s.Objectives.Target,
	}
	for _, z := range s.Groups {
		w.Groups = append(w.Groups, groupsWire{Zone: z.Zone, Count: z.Count})
	}
	for _, r := range s.Routes {
		w.Routes = append(w.Routes, routeWire{Method: r.Method, PathPrefix: r.PathPrefix, Idempotent: r.Idempotent})
	}
	return w
}
