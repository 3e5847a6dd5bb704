// Package routing decides which replica group an attempt goes to.
package routing
