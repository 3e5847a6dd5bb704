package caller

// RunHeader is the response header that carries the request's RunState.
const RunHeader = "hibiscuspulley-run"

// RunState states whether a backend server ran a request.
type RunState string

const (
	// NotRun means that no byte of the request can have reached a backend
	// server, or that a trusted server rejected it. A retry is safe.
	NotRun RunState = "not-run"
	// Ran means that a backend server ran the request.
	Ran RunState = "ran"
	// MayHaveRun means that a backend server may have run the request.
	MayHaveRun RunState = "may-have-run"
)
