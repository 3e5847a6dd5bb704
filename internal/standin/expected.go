package standin

import (
	"strings"
)

// ExpectedResponse returns the text that every engine generates for a chat with
// one user message. It doesn't depend on how often the response is interrupted
// and resumed.
func ExpectedResponse(prompt string, maxTokens int) string {
	s := newEngineStream("", generateWire{
		Messages: []messageWire{{Role: "user", Content: prompt}}, MaxTokens: maxTokens,
	}, true)
	for !s.ended() {
		s.generateToken()
	}
	return strings.Join(s.tokens, "")
}
