package service

import (
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"github.com/hibiscuspulley/hibiscuspulley/pkg/operator"
)

// Fields holds the flags that set fields of a service. Zero values leave the
// field unchanged.
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

func (f *Fields) addFlags(cmd *kingpin.CmdClause) {
	cmd.Flag("model", "Model that engines load; defaults to the service's name.").StringVar(&f.Model)
	cmd.Flag("group-size", "Instances per replica group.").IntVar(&f.GroupSize)
	cmd.Flag("groups", "Number of replica groups in a zone as ZONE=COUNT; repeatable.").StringsVar(&f.Groups)
	cmd.Flag("slots", "Maximum concurrent requests of a warm group.").IntVar(&f.Slots)
	cmd.Flag("cold-limit", "Maximum concurrent requests of a cold group.").IntVar(&f.ColdLimit)
	cmd.Flag("route", "Route as METHOD:PATH-PREFIX:idempotent or METHOD:PATH-PREFIX:once; repeatable.").StringsVar(&f.Routes)
	cmd.Flag("first-token", "Latency objective for the first token.").DurationVar(&f.FirstToken)
	cmd.Flag("between-tokens", "Latency objective for the mean time between tokens.").DurationVar(&f.BetweenTokens)
	cmd.Flag("target", "Share of requests that must meet the objectives.").Float64Var(&f.Target)
}

// apply writes the fields that are set into the service.
func (f *Fields) apply(s *operator.Service) error {
	set(&s.Model, f.Model)
	set(&s.GroupSize, f.GroupSize)
	set(&s.Slots, f.Slots)
	set(&s.ColdLimit, f.ColdLimit)
	set(&s.Objectives.FirstToken, f.FirstToken)
	set(&s.Objectives.BetweenTokens, f.BetweenTokens)
	set(&s.Objectives.Target, f.Target)
	if len(f.Groups) > 0 {
		groups, err := parseGroups(f.Groups)
		if err != nil {
			return err
		}
		s.Groups = groups
	}
	if len(f.Routes) > 0 {
		routes, err := parseRoutes(f.Routes)
		if err != nil {
			return err
		}
		s.Routes = routes
	}
	return nil
}

func set[T comparable](dst *T, value T) {
	var unset T
	if value != unset {
		*dst = value
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

// routeParts is the number of parts of a --route value.
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
