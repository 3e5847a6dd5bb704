// Package engine is a client of model engines. It generates, resumes and
// cancels responses over the OpenAI API with server-sent events, reads an
// engine's health and load, and sends orders that carry a fencing token.
package engine
