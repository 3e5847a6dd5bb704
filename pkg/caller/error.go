package caller

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Error is an error response to a caller: a rejection or a failure.
type Error struct {
	// Status is the HTTP status code.
	Status int
	// Code is a stable machine-readable error code in kebab case, except the codes
	// of the OpenAI API, such as model_not_found.
	Code string
	// Message is a human-readable description of the error and its remedy.
	Message string
	// Run states whether the request was run.
	Run RunState
	// RetryAfter is the delay after which a retry may succeed; 0 omits the
	// Retry-After header.
	RetryAfter time.Duration
}

// Error implements error.
func (e *Error) Error() string {
	return e.Code + ": " + e.Message
}

type errorWire struct {
	Error errorBodyWire `json:"error"`
}

type errorBodyWire struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
}

// Body returns the error as JSON in the OpenAI error format.
func (e *Error) Body() []byte {
	body := errorBodyWire{Message: e.Message, Type: errorType(e.Status), Code: e.Code}
	encoded, err := json.Marshal(errorWire{Error: body})
	if err != nil {
		panic(err) // marshalling strings cannot fail
	}
	return encoded
}

// Write sends the error as the complete response. Nothing may have been written to w
// before.
func (e *Error) Write(w http.ResponseWriter) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(RunHeader, string(e.Run))
	if e.RetryAfter > 0 {
		seconds := int(math.Ceil(e.RetryAfter.Seconds()))
		header.Set("Retry-After", strconv.Itoa(seconds))
	}
	w.WriteHeader(e.Status)
	_, _ = w.Write(e.Body())
}

func errorType(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status < http.StatusInternalServerError:
		return "invalid_request_error"
	default:
		return "server_error"
	}
}
