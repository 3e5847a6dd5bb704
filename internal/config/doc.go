// Package config validates configuration changes, detects conflicts between them
// and tracks the revision in force. Revisions are applied in order, and the
// revision in force never decreases.
package config
