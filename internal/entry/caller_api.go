package entry

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/hibiscuspulley/hibiscuspulley/internal/config"
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
	// forwardPath begins the paths of requests that another entry sends here.
	forwardPath = "/forward"
	// organisationHeader names the organisation of a forwarded request.
	organisationHeader = "X-Organisation"
)

// callerAPI serves callers, and requests that other entries send here.
type callerAPI struct {
	logger  *logrus.Logger
	config  *config.Log
	limits  settings.Limits
	engines *engine.Client
	router  *router
	plain   *plainProxy
	budgets *budgets
	counts  *metrics
	burn    *burnGatherer
	peerKey string
	// ready reports whether the entry takes callers' requests.
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

// recoverPanics answers a panic with an error, and keeps deliberate aborts.
func (a *callerAPI) recoverPanics(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			cause := recover()
			if cause == nil {
				return
			}
			if cause != http.ErrAbortHandler { //nolint:errorlint // a panic value is compared
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
	refusal("not-ready", "the entry starts or stops; use another one").Write(w)
}

func (a *callerAPI) serveUnknown(w http.ResponseWriter, r *http.Request) {
	status, code := http.StatusNotFound, "unknown-path"
	if r.URL.Path == chatPath || r.URL.Path == completionPath {
		status, code = http.StatusMethodNotAllowed, "wrong-method"
	}
	(&caller.Error{
		Status: status, Code: code, Run: caller.NotRun,
		Message: "there is nothing at " + r.Method + " " + r.URL.Path + "; see GET /v1/models",
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
	if _, refused := authenticate(state, r); refused != nil {
		refused.Write(w)
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

// serveModel serves a chat or completion request of a caller.
func (a *callerAPI) serveModel(w http.ResponseWriter, r *http.Request) {
	organisation, refused := authenticate(a.config.State(), r)
	if refused == nil {
		refused = a.model(w, r, r.URL.Path, organisation.Name, "")
	}
	if refused != nil {
		a.counts.refused(refused)
		refused.Write(w)
	}
}

// serveForward serves a request that an entry of another zone sends here.
func (a *callerAPI) serveForward(w http.ResponseWriter, r *http.Request) {
	if !peer.Authorized(r, a.peerKey) {
		unauthorised("wrong peer key").Write(w)
		return
	}
	if r.Header.Get(engine.ResumeHeader) != "" {
		http.NotFound(w, r) // a forwarded answer is continued elsewhere
		return
	}
	path := r.URL.Path[len(forwardPath):]
	refused := a.model(w, r, path, r.Header.Get(organisationHeader), r.Header.Get(engine.RequestIDHeader))
	if refused != nil {
		refused.Write(w)
	}
}

// model carries a model request out. It returns a refusal as long as nothing
// has been written. The id names a forwarded request, which must not be sent
// on to yet another entry.
func (a *callerAPI) model(w http.ResponseWriter, r *http.Request, path, organisation, id string) *caller.Error {
	if !a.ready() {
		return refusal("not-ready", "the entry starts or stops; use another one")
	}
	body, refused := a.readBody(w, r)
	if refused != nil {
		return refused
	}
	chat := path == chatPath
	request, refused := parseModelRequest(body, chat)
	if refused != nil {
		return refused
	}
	state := a.config.State()
	service, found := state.Service(request.model)
	if !found || service.Kind != operator.ModelService {
		return unknownModel(request.model)
	}
	if refused := a.router.enter(organisation); refused != nil {
		return refused
	}
	defer a.router.exit(organisation)
	g := a.generation(request, service, organisation, path, chat)
	g.publicID = g.attemptID(1)
	g.out = newWholeSink(w)
	if request.stream || id != "" {
		g.out = newStreamSink(w, a.limits.WriteTimeout, id)
	}
	if id != "" {
		g.id = id
		g.publicID = id
		g.requirements.hopped = true
	}
	return a.run(r.Context(), g, state.Defaults().RequestTimeout)
}

func (a *callerAPI) run(ctx context.Context, g *generation, timeout time.Duration) *caller.Error {
	defer g.out.close()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	refused := g.serve(ctx)
	a.counts.served(g, refused, time.Since(g.startedAt))
	a.burn.note(g, refused, errors.Is(ctx.Err(), context.Canceled))
	if refused == nil || !g.out.started() {
		return refused
	}
	event.RequestFailed.Log(a.logger, logrus.Fields{"request": g.id, "code": refused.Code})
	g.out.fail(refused)
	panic(http.ErrAbortHandler) // the caller must not take the answer for whole
}

func (a *callerAPI) generation(request *modelRequest, s operator.Service, organisation, path string, chat bool) *generation {
	state := a.config.State()
	cost := float64(defaultCost)
	if request.maxTokens > 0 {
		cost = float64(request.maxTokens)
	}
	return &generation{
		logger: a.logger, engines: a.engines, router: a.router,
		budget: a.budgets.of(s.Name), share: state.Defaults().RetryPercent,
		request: request, path: path, chat: chat, model: request.model,
		id: newIdentifier(), created: time.Now().Unix(), startedAt: time.Now(), run: caller.NotRun,
		requirements: requirements{
			service: s, organisation: organisation, weight: state.Weight(organisation),
			priority: request.priority, cost: cost, avoid: make(map[string]time.Time),
			patience: a.limits.QueueTimeout,
		},
	}
}

func unknownModel(name string) *caller.Error {
	return &caller.Error{
		Status: http.StatusNotFound, Code: "model_not_found", Run: caller.NotRun,
		Message: "there is no model " + name + "; see GET /v1/models",
	}
}

// readBody reads a request body within the limits of size and time.
func (a *callerAPI) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *caller.Error) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(a.limits.BodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(a.limits.BodyBytes)))
	if err == nil {
		_ = control.SetReadDeadline(time.Time{})
		return body, nil
	}
	// The deadline stays, so that the server does not wait for the rest.
	w.Header().Set("Connection", "close")
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, &caller.Error{
			Status: http.StatusRequestEntityTooLarge, Code: "body-too-large", Run: caller.NotRun,
			Message: "the body is larger than this entry takes; send a smaller one",
		}
	}
	return nil, &caller.Error{
		Status: http.StatusRequestTimeout, Code: "body-incomplete", Run: caller.NotRun,
		Message: "the body did not arrive whole in time; send it again",
	}
}
