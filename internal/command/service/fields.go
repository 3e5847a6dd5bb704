package service

import (
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"github.com/hibiscuspulley/hibiscuspulley/pkg/operator"
)

// Fields are the service's fields as flags; unset ones stay as they are.
type Fields struct {
	Model         string
	GroupSize     int
	Groups        []string
	Slots         int
	ColdLimit     int
	Routes        []string
	FirstToken    time.Duration
	BetweenTokens time.Duration
	Target        float64
}

func (x *Fields) addFlags(cmd *kingpin.CmdClause) {
	cmd.Flag("model", "Model that engines load; the service's name if unset.").StringVar(&x.Model)
	cmd.Flag("group-size", "Instances that a replica group spans.").IntVar(&x.GroupSize)
	cmd.Flag("groups", "Replica groups of a zone as ZONE=COUNT; repeatable.").StringsVar(&x.Groups)
	cmd.Flag("slots", "Requests that a warm group takes at once.").IntVar(&x.Slots)
	cmd.Flag("cold-limit", "Requests that a cold group bears at once.").IntVar(&x.ColdLimit)
	cmd.Flag("route", "METHOD:PATH-PREFIX:idempotent or METHOD:PATH-PREFIX:once; repeatable.").StringsVar(&x.Routes)
	cmd.Flag("first-token", "Objective for the time to the first token.").DurationVar(&x.FirstToken)
	cmd.Flag("between-tokens", "Objective for the time between tokens.").DurationVar(&x.BetweenTokens)
	cmd.Flag("target", "Share of requests that must meet the objectives.").Float64Var(&x.Target)
}

// apply writes the fields that are set into the service.
func (x *Fields) apply(s *operator.Service) error {
	set(&s.Model, x.Model)
	set(&s.GroupSize, x.GroupSize)
	set(&s.Slots, x.Slots)
	set(&s.ColdLimit, x.ColdLimit)
	set(&s.Objectives.FirstToken, x.FirstToken)
	set(&s.Objectives.BetweenTokens, x.BetweenTokens)
	set(&s.Objectives.Target, x.Target)
	if len(x.Groups) > 0 {
		groups, err := parseGroups(x.Groups)
		if err != nil {
			return err
		}
		s.Groups = groups
	}
	if len(x.Routes) > 0 {
		routes, err := parseRoutes(x.Routes)
		if err != nil {
			return err
		}
		s.Routes = routes
	}
	return nil
}

func set[T comparable](into *T, value T) {
	var unset T
	if value != unset {
		*into = value
	}
}

func parseGroups(texts []string) ([]operator.ZoneGroups, error) {
	var groups []operator.ZoneGroups
	for _, text := range texts {
		zone, count, found := strings.Cut(text, "=")
		n, err := strconv.Atoi(count)
		if !found || err != nil {
			return nil, errors.Errorf("--groups %s: write it as ZONE=COUNT, such as a=4", text)
		}
		groups = append(groups, operator.ZoneGroups{Zone: zone, Count: n})
	}
	return groups, nil
}

// routeParts is how many parts a route has as a flag.
const routeParts = 3

func parseRoutes(texts []string) ([]operator.Route, error) {
	var routes []operator.Route
	for _, text := range texts {
		parts := strings.SplitN(text, ":", routeParts)
		if len(parts) != routeParts || parts[2] != "idempotent" && parts[2] != "once" {
			return nil, errors.Errorf("--route %s: write it as METHOD:PATH-PREFIX:idempotent or METHOD:PATH-PREFIX:once", text)
		}
		routes = append(routes, operator.Route{
			Method: parts[0], PathPrefix: parts[1], Idempotent: parts[2] == "idempotent",
		})
	}
	return routes, nil
}
