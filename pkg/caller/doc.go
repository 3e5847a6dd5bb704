// Package caller defines what callers see of the system beside the OpenAI
// API: the run header that every reply carries, and the shape of errors.
package caller
