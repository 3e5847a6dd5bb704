// Package engine speaks to model engines: it generates, resumes and cancels
// answers over the OpenAI API with server-sent events, reads an engine's
// health and load, and gives orders that carry a fencing token.
package engine
