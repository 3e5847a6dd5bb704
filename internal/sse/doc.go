// Package sse reads server-sent events, the format of streamed responses.
package sse
