package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/hibiscuspulley/hibiscuspulley/internal/config"
	"github.com/hibiscuspulley/hibiscuspulley/internal/connlimit"
	"github.com/hibiscuspulley/hibiscuspulley/internal/event"
	"github.com/hibiscuspulley/hibiscuspulley/internal/peer"
	"github.com/hibiscuspulley/hibiscuspulley/internal/settings"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/caller"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/engine"
	"github.com/hibiscuspulley/hibiscuspulley/pkg/operator"
)

const (
	chatPath       = "/v1/chat/completions"
	completionPath = "/v1/completions"
	// forwardPath is the path prefix of requests forwarded by other entries.
	forwardPath = "/forward"
	// organisationHeader carries the organisation of a forwarded request.
	organisationHeader = "X-Organisation"
)

// callerAPI serves requests of callers and requests forwarded by other entries.
type callerAPI struct {
	logger  *logrus.Logger
	config  *config.Log
	limits  settings.Limits
	engines *engine.Client
	router  *router
	plain   *plainProxy
	budgets *retryBudgets
	metrics *metrics
	// clients bounds the memory of requests and of responses that wait for callers.
	clients *connlimit.Limiter
	// burn counts the requests that met or missed their service-level objectives.
	burn    *burnCollector
	peerKey string
	// ready reports whether the entry accepts requests.
	ready func() bool
}

// callerHandler returns the handler of the caller listener.
func (a *callerAPI) callerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+chatPath, a.serveModel)
	mux.HandleFunc("POST "+completionPath, a.serveModel)
	mux.HandleFunc("GET /v1/models", a.serveModels)
	mux.HandleFunc("/services/{name}/{path...}", a.servePlain)
	mux.HandleFunc("GET /live", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /ready", a.serveReady)
	mux.HandleFunc("/", a.serveUnknown)
	return a.recoverPanics(mux)
}

// recoverPanics logs a panic of a handler, and then panics with
// http.ErrAbortHandler to abort the connection. It does not log a panic with
// http.ErrAbortHandler, which is a deliberate abort.
func (a *callerAPI) recoverPanics(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			cause := recover()
			if cause == nil {
				return
			}
			if cause != http.ErrAbortHandler { //nolint:errorlint // a panic value, not an error
				event.HandlerPanicked.Log(a.logger, logrus.Fields{"path": r.URL.Path, "cause": cause})
			}
			panic(http.ErrAbortHandler)
		}()
		next.ServeHTTP(w, r)
	})
}

func (a *callerAPI) serveReady(w http.ResponseWriter, _ *http.Request) {
	if a.ready() {
		w.WriteHeader(http.StatusOK)
		return
	}
	unavailable("not-ready", "the entry is starting or shutting down; use another entry").Write(w)
}

// serveUnknown replies to requests that match no other route: with status 405 for a
// model path with a method other than POST, and with 404 for all others.
func (a *callerAPI) serveUnknown(w http.ResponseWriter, r *http.Request) {
	status, code := http.StatusNotFound, "unknown-path"
	if r.URL.Path == chatPath || r.URL.Path == completionPath {
		status, code = http.StatusMethodNotAllowed, "wrong-method"
	}
	(&caller.Error{
		Status: status, Code: code, Run: caller.NotRun,
		Message: "no endpoint at " + r.Method + " " + r.URL.Path + "; see GET /v1/models",
	}).Write(w)
}

type modelWire struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

type modelsWire struct {
	Object string      `json:"object"`
	Data   []modelWire `json:"data"`
}

func (a *callerAPI) serveModels(w http.ResponseWriter, r *http.Request) {
	state := a.config.State()
	if _, callerErr := authenticate(state, r); callerErr != nil {
		callerErr.Write(w)
		return
	}
	list := modelsWire{Object: "list", Data: []modelWire{}}
	for _, s := range state.Services() {
		if s.Kind == operator.ModelService {
			list.Data = append(list.Data, modelWire{ID: s.Name, Object: "model", OwnedBy: "hibiscuspulley"})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(caller.RunHeader, string(caller.Ran))
	_ = json.NewEncoder(w).Encode(list)
}

// serveModel handles a chat or completion request of a caller.
func (a *callerAPI) serveModel(w http.ResponseWriter, r *http.Request) {
	organisation, callerErr := authenticate(a.config.State(), r)
	if callerErr == nil {
		callerErr = a.serveModelRequest(w, r, r.URL.Path, organisation.Name, "")
	}
	if callerErr != nil {
		a.metrics.recordRejection(callerErr)
		callerErr.Write(w)
	}
}

// serveForward handles a request forwarded by an entry of another zone. That entry
// has authenticated the caller and states the organisation in a header.
func (a *callerAPI) serveForward(w http.ResponseWriter, r *http.Request) {
	if !peer.Authorized(r, a.peerKey) {
		unauthorised("wrong peer key").Write(w)
		return
	}
	if r.Header.Get(engine.ResumeHeader) != "" {
		http.NotFound(w, r) // a forwarded response can't be resumed at this entry
		return
	}
	path := r.URL.Path[len(forwardPath):]
	callerErr := a.serveModelRequest(w, r, path, r.Header.Get(organisationHeader), r.Header.Get(engine.RequestIDHeader))
	if callerErr != nil {
		callerErr.Write(w)
	}
}

// serveModelRequest validates and runs a model request. It returns an error only
// if nothing has been written to the caller. If the request fails later, it panics
// with http.ErrAbortHandler. A non-empty id is the request id of a forwarded
// request, which is not forwarded again and whose response is always a stream.
func (a *callerAPI) serveModelRequest(w http.ResponseWriter, r *http.Request, path, organisation, id string) *caller.Error {
	if !a.ready() {
		return unavailable("not-ready", "the entry is starting or shutting down; use another entry")
	}
	memory := &clientMemory{limiter: a.clients, ctx: r.Context()}
	defer memory.release()
	body, callerErr := a.readBody(w, r, memory)
	if callerErr != nil {
		return callerErr
	}
	chat := path == chatPath
	request, callerErr := parseModelRequest(body, chat)
	if callerErr != nil {
		return callerErr
	}
	state := a.config.State()
	service, found := state.Service(request.model)
	if !found || service.Kind != operator.ModelService {
		return unknownModel(request.model)
	}
	if callerErr := a.router.beginRequest(organisation); callerErr != nil {
		return callerErr
	}
	defer a.router.endRequest(organisation)
	g := a.newGeneration(request, service, organisation, path, chat)
	g.publicID = g.attemptID(1)
	g.memory = memory
	g.sink = newBufferedSink(w)
	if request.stream || id != "" {
		g.sink = newStreamSink(w, a.limits.WriteTimeout, id) // another entry always receives a stream
	}
	if id != "" {
		g.id = id
		g.publicID = id
		g.requirements.forwarded = true
	}
	return a.runGeneration(r.Context(), g, state.Defaults().RequestTimeout)
}

// runGeneration runs a generation, which fails after the timeout, and records the
// result. If the generation fails before the response has started, runGeneration
// returns the error. If it fails later, runGeneration sends the error in the stream
// and panics with http.ErrAbortHandler, which aborts the connection.
func (a *callerAPI) runGeneration(ctx context.Context, g *generation, timeout time.Duration) *caller.Error {
	defer g.sink.close()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	callerErr := g.serve(ctx)
	a.metrics.recordModelRequest(g, callerErr, time.Since(g.receivedAt))
	a.burn.record(g, callerErr, errors.Is(ctx.Err(), context.Canceled))
	if callerErr == nil || !g.sink.started() {
		return callerErr
	}
	event.RequestFailed.Log(a.logger, logrus.Fields{"request": g.id, "code": callerErr.Code})
	g.sink.fail(callerErr)
	panic(http.ErrAbortHandler) // the caller must detect an incomplete response
}

// newGeneration returns a generation for a request; generation.serve runs it. It
// sets receivedAt to the current time: the body has been read by then.
func (a *callerAPI) newGeneration(request *modelRequest, s operator.Service, organisation, path string, chat bool) *generation {
	state := a.config.State()
	cost := float64(defaultCostTokens)
	if request.maxTokens > 0 {
		cost = float64(request.maxTokens)
	}
	return &generation{
		logger: a.logger, engines: a.engines, router: a.router,
		budget: a.budgets.forService(s.Name), retryPercent: state.Defaults().RetryPercent,
		request: request, path: path, chat: chat, model: request.model,
		id: newIdentifier(), created: time.Now().Unix(), receivedAt: time.Now(), runState: caller.NotRun,
		requirements: requirements{
			service: s, organisation: organisation, weight: state.Weight(organisation),
			priority: request.priority, cost: cost, avoidUntil: make(map[string]time.Time),
			maxWait: a.limits.QueueTimeout,
		},
	}
}

func unknownModel(name string) *caller.Error {
	return &caller.Error{
		Status: http.StatusNotFound, Code: "model_not_found", Run: caller.NotRun,
		Message: "model " + shorten(name) + " does not exist; see GET /v1/models",
	}
}
