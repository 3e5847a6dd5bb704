// Package statusline tells which status codes a server's response may have.
package statusline

// IsFinal reports whether a code is that of a response, as opposed to an interim one or to
// bytes that are none.
func IsFinal(code int) bool { return code >= 200 && code <= 599 }

// IsInterim reports whether a code is that of an interim response.
func IsInterim(code int) bool { return code >= 100 && code <= 199 }
