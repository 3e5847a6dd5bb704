// Package config decides about the configuration: whether a change is valid,
// whether it conflicts, and which revision is in force. Revisions are applied
// in order and never go back.
package config
