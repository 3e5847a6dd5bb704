package standin

import (
	"strings"
)

// ExpectedResponse returns the text that every engine gives to a chat of one
// user message, however often the answer is interrupted and resumed.
func ExpectedResponse(prompt string, maxTokens int) string {
	s := newEngineStream("", generateWire{
		Messages: []messageWire{{Role: "user", Content: prompt}}, MaxTokens: maxTokens,
	}, true)
	for !s.over() {
		s.step()
	}
	return strings.Join(s.tokens, "")
}
