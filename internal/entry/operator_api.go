package entry

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/hibiscuspulley/hibiscuspulley/internal/config"
	"github.com/hibiscuspulley/hibiscuspulley/internal/connlimit"
	"github.com/hibiscuspulley/hibiscuspulley/internal/grouping"
	"github.com/hibiscuspulley/hibiscuspulley/internal/membership"
	"github.com/hibiscuspulley/hibiscuspulley/internal/permit"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/caller"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/operator"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/platform"
)

const (
	maxChangeBytes = 1 << 20
	// changeCopies is how many times its size a parsed change takes: a list of short
	// names takes 24 bytes for each, in slices that grow, for two representations.
	changeCopies = 16
	revisionPath = "/revision"
	// confirmTimeout bounds one request to an entry for its revision or its burn
	// report.
	confirmTimeout = 2 * time.Second
)

// operatorAPI serves the operators' HTTP API.
type operatorAPI struct {
	key        string
	identity   membership.Session
	config     *config.Log
	configurer *configurer
	platform   *platform.Client
	health     *platformHealth
	holder     *membership.Holder
	views      *viewCache
	watches    *watches
	permits    *permit.Holder
	peers      *peers
	metrics    *metrics
	burn       *burnCollector
	ready      func() bool
	// clients bounds the memory of requests.
	clients *connlimit.Limiter
	// bodyTimeout limits the time to read a request body.
	bodyTimeout time.Duration
}

// handler returns the handler of the operator listener.
func (a *operatorAPI) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /config", a.serveConfig)
	mux.HandleFunc("GET /config/history", a.serveHistory)
	mux.HandleFunc("POST /config/changes", a.serveChange)
	mux.HandleFunc("GET /status", a.serveStatus)
	mux.HandleFunc("GET /instances", a.serveInstances)
	mux.HandleFunc("GET /confirmations", a.serveConfirmations)
	mux.HandleFunc("GET "+burnPath, a.serveBurn)
	mux.HandleFunc("GET /debug/vars", a.serveMetrics)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		authorization := []byte(r.Header.Get("Authorization"))
		if subtle.ConstantTimeCompare(authorization, []byte("Bearer "+a.key)) != 1 {
			writeProblem(w, http.StatusUnauthorized, "wrong operator key; set --key-file to the operators' key")
			return
		}
		mux.ServeHTTP(w, r)
	})
}

func writeProblem(w http.ResponseWriter, status int, message string) {
	writeJSON(w, status, operator.EncodeProblem(&operator.Problem{Message: message}))
}

func writeJSON(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

func (a *operatorAPI) serveConfig(w http.ResponseWriter, _ *http.Request) {
	state := a.config.State()
	writeJSON(w, http.StatusOK, operator.EncodeConfiguration(operator.Configuration{
		Revision: state.Revision(), Defaults: state.Defaults(), Changes: state.Snapshot(),
	}))
}

func (a *operatorAPI) serveHistory(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	state := a.config.State()
	changes, complete := a.config.ChangesAfter(after)
	if !complete {
		var err error
		if changes, err = a.readHistory(r.Context(), after, state.Revision()); err != nil {
			writeProblem(w, http.StatusServiceUnavailable, "the older history is stored by the platform, which can't be reached; request changes after a later revision")
			return
		}
	}
	writeJSON(w, http.StatusOK, operator.EncodeConfiguration(operator.Configuration{
		Revision: state.Revision(), Defaults: state.Defaults(), Changes: changes,
	}))
}

// readHistory reads the changes after one revision up to another from the platform.
func (a *operatorAPI) readHistory(ctx context.Context, after, last uint64) ([]operator.Change, error) {
	rows, err := a.platform.Between(ctx, config.DeltaKey(after+1), config.DeltaKey(last+1))
	if err != nil {
		return nil, err
	}
	encoded := make([][]byte, 0, len(rows))
	for _, row := range rows {
		encoded = append(encoded, row.Value)
	}
	return config.DecodeChanges(encoded)
}

func (a *operatorAPI) serveChange(w http.ResponseWriter, r *http.Request) {
	memory := &clientMemory{limiter: a.clients, ctx: r.Context()}
	defer memory.release()
	body, err := a.readChange(w, r, memory)
	if errors.Is(err, connlimit.ErrNoMemory) {
		w.Header().Set(caller.RunHeader, string(caller.NotRun))
		w.Header().Set("Retry-After", strconv.Itoa(int(retryAfter.Seconds())))
		writeProblem(w, http.StatusServiceUnavailable, "the entry has no memory for the request now; the change was not made; send it again later")
		return
	}
	if err != nil {
		writeProblem(w, http.StatusBadRequest, "the request body could not be read completely")
		return
	}
	change, err := operator.DecodeChange(body)
	if err != nil {
		writeProblem(w, http.StatusBadRequest, err.Error())
		return
	}
	if problems := a.config.State().Check(change); len(problems) > 0 {
		writeValidationProblem(w, problems)
		return
	}
	accepted, conflict, err := a.configurer.commit(r.Context(), change)
	switch {
	case conflict != nil:
		writeJSON(w, http.StatusConflict, operator.EncodeProblem(&operator.Problem{
			Message: "another change was committed first; read the configuration again before making this change", Conflict: conflict,
		}))
	case err != nil && !a.health.reachable() && a.configurer.acceptProvisional(change):
		writeJSON(w, http.StatusOK, operator.EncodeChange(change))
	case err != nil:
		writeProblem(w, http.StatusServiceUnavailable, "the change was not accepted: "+err.Error())
	default:
		writeJSON(w, http.StatusOK, operator.EncodeChange(accepted))
	}
}

// readChange reads the body of a change, for a limited time. It reserves the memory of
// the body and of what is parsed from it.
func (a *operatorAPI) readChange(w http.ResponseWriter, r *http.Request, memory *clientMemory) ([]byte, error) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(a.bodyTimeout))
	body, err := memory.readBody(w, r, maxChangeBytes)
	if err == nil {
		err = memory.reserve(changeCopies * int64(len(body)))
	}
	if err != nil {
		// The deadline stays set, see callerAPI.readBody.
		w.Header().Set("Connection", "close")
		return nil, err
	}
	_ = control.SetReadDeadline(time.Time{})
	return body, nil
}

func writeValidationProblem(w http.ResponseWriter, problems []config.Problem) {
	p := &operator.Problem{Message: "the change is not valid"}
	for _, problem := range problems {
		p.Details = append(p.Details, problem.String())
	}
	writeJSON(w, http.StatusUnprocessableEntity, operator.EncodeProblem(p))
}

func (a *operatorAPI) serveStatus(w http.ResponseWriter, _ *http.Request) {
	session, open := a.holder.Current()
	s := operator.Status{
		Entry: a.identity.Entry, Zone: a.identity.Zone,
		Revision: a.config.State().Revision(), Ready: a.ready(),
		PlatformReachable: a.health.reachable(), Peers: a.peers.statuses(), Groups: a.groups(),
	}
	if open {
		s.SessionEpoch = session.Epoch
	}
	writeJSON(w, http.StatusOK, operator.EncodeStatus(s))
}

func (a *operatorAPI) groups() []operator.GroupStatus {
	now := time.Now()
	downtime := make(map[string]time.Duration)
	for _, s := range a.watches.statuses(now, 0) {
		downtime[s.group.Name] = s.downtime
	}
	var list []operator.GroupStatus
	for _, g := range a.views.current().Groups {
		status := groupStatus(g.Group, a.permits.Status(g.Name, now))
		status.Downtime = downtime[g.Name]
		list = append(list, status)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

func groupStatus(g grouping.Group, p permit.Status) operator.GroupStatus {
	s := operator.GroupStatus{
		Name: g.Name, Service: g.Service, Zone: g.Zone, Domain: g.Domain,
		Owner: g.Owner.Entry, Generation: g.Generation,
		Credits: p.Credits, InFlight: p.InFlight, Valid: p.Valid, Cold: p.Cold,
	}
	for _, m := range g.Members {
		s.Members = append(s.Members, m.Instance)
	}
	return s
}

func (a *operatorAPI) serveInstances(w http.ResponseWriter, _ *http.Request) {
	view := a.views.current()
	state := a.config.State()
	var list []operator.InstanceStatus
	for _, i := range view.Instances {
		assignment := view.Assignments[i.Name]
		instanceConfig := state.Instance(i.Name)
		list = append(list, operator.InstanceStatus{
			Name: i.Name, Address: i.Address, Zone: i.Zone, Domain: i.FabricDomain, Service: i.Service,
			Group: assignment.Group, Leaving: i.Leaving, Drained: instanceConfig.Drained, Held: instanceConfig.Held,
			Quarantined: assignment.Quarantined,
		})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	writeJSON(w, http.StatusOK, operator.EncodeInstances(list))
}

func (a *operatorAPI) serveConfirmations(w http.ResponseWriter, r *http.Request) {
	a.views.refresh(r.Context()) // include entries that have started recently
	writeJSON(w, http.StatusOK, operator.EncodeConfirmations(a.peers.confirmations(r.Context())))
}

// serveBurn writes the burn report of all entries.
func (a *operatorAPI) serveBurn(w http.ResponseWriter, r *http.Request) {
	a.views.refresh(r.Context())
	writeJSON(w, http.StatusOK, operator.EncodeBurnReport(a.burn.collect(r.Context())))
}

// serveOwnBurn writes the burn report of this entry for a peer.
func (a *operatorAPI) serveOwnBurn(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, operator.EncodeBurnReport(a.burn.local()))
}

// serveMetrics writes the entry's expvar map.
func (a *operatorAPI) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, []byte(a.metrics.vars.String()))
}

type revisionWire struct {
	Entry    string `json:"entry"`
	Zone     string `json:"zone"`
	Revision uint64 `json:"revision"`
}

// serveRevision writes this entry's configuration revision for a peer.
func (a *operatorAPI) serveRevision(w http.ResponseWriter, _ *http.Request) {
	body, err := json.Marshal(revisionWire{
		Entry: a.identity.Entry, Zone: a.identity.Zone, Revision: a.config.State().Revision(),
	})
	if err != nil {
		panic(err) // encoding plain data never fails
	}
	writeJSON(w, http.StatusOK, body)
}
