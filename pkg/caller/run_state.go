package caller

// RunHeader is the reply header that says what became of the request.
const RunHeader = "hibiscuspulley-run"

// RunState says what became of a request.
type RunState string

const (
	// NotRun means that no byte of the request can have reached a backend
	// server, or that a trusted server refused it. Repeating it is safe.
	NotRun RunState = "not-run"
	// Ran means that a backend server ran the request.
	Ran RunState = "ran"
	// MayHaveRun means that a backend server may have run the request.
	MayHaveRun RunState = "may-have-run"
)
