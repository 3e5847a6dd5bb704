// Package sse reads server-sent events, the format of streamed answers.
package sse
