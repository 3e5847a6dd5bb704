// Package caller defines the parts of the callers' API that extend the OpenAI
// API: the run header of every response to a model request or a plain service call,
// and the format of errors.
package caller
