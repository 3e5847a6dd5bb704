package entry

import (
	"encoding/json"
	"net/http"

	"github.com/hibiscuspulley/hibiscuspulley/pkg/caller"
)

// modelRequest is a caller's request to a model, with the fields that the
// entry has to understand. All others go to the engine as they are.
type modelRequest struct {
	fields    map[string]json.RawMessage
	model     string
	stream    bool
	maxTokens int
	priority  int
	// messages holds the chat's messages; prompt the completion's text.
	messages []json.RawMessage
	prompt   string
}

// parseModelRequest reads the body of a chat or completion request.
func parseModelRequest(body []byte, chat bool) (*modelRequest, *caller.Error) {
	m := &modelRequest{}
	if err := json.Unmarshal(body, &m.fields); err != nil {
		return nil, badRequest("invalid-json", "the body is not a JSON object: "+err.Error())
	}
	variants := 1
	read := []fieldReader{
		{"model", &m.model},
		{"stream", &m.stream},
		{"max_tokens", &m.maxTokens},
		{"max_completion_tokens", &m.maxTokens},
		{"priority", &m.priority},
		{"n", &variants},
	}
	if chat {
		read = append(read, fieldReader{"messages", &m.messages})
	} else {
		read = append(read, fieldReader{"prompt", &m.prompt})
	}
	for _, f := range read {
		if err := f.read(m.fields); err != nil {
			return nil, badRequest("invalid-field", "the field "+f.name+" is wrong: "+err.Error())
		}
	}
	return m, m.check(chat, variants)
}

// fieldReader reads one field into a variable; null counts as absent.
type fieldReader struct {
	name string
	into any
}

func (f fieldReader) read(fields map[string]json.RawMessage) error {
	raw, found := fields[f.name]
	if !found || string(raw) == "null" {
		return nil
	}
	return json.Unmarshal(raw, f.into)
}

func (m *modelRequest) check(chat bool, variants int) *caller.Error {
	switch {
	case m.model == "":
		return badRequest("missing-model", "the field model is missing; name a model of GET /v1/models")
	case chat && len(m.messages) == 0:
		return badRequest("missing-messages", "the field messages is missing or empty")
	case !chat && m.prompt == "":
		return badRequest("missing-prompt", "the field prompt is missing or empty; write one text")
	case variants != 1:
		return badRequest("unsupported-n", "only one variant per request is served; leave n out")
	case m.maxTokens < 0:
		return badRequest("invalid-field", "max_tokens is below 0")
	}
	return nil
}

// promptText returns the text that decides about cached prefixes.
func (m *modelRequest) promptText() string {
	text := m.prompt
	for _, message := range m.messages {
		text += string(message)
	}
	return text
}

type partialMessageWire struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// body returns the request for an engine: streamed, and continued behind the
// text that the caller already has.
func (m *modelRequest) body(model, delivered string, tokens int) []byte {
	fields := make(map[string]json.RawMessage, len(m.fields)+4)
	for name, raw := range m.fields {
		fields[name] = raw
	}
	fields["model"] = raw(model)
	fields["stream"] = raw(true)
	delete(fields, "stream_options")
	if delivered != "" {
		m.continueAfter(fields, delivered, tokens)
	}
	return raw(fields)
}

// continueAfter makes the request go on behind the delivered text, by the
// convention of chat templates for an open final message.
func (m *modelRequest) continueAfter(fields map[string]json.RawMessage, delivered string, tokens int) {
	if m.messages == nil {
		fields["prompt"] = raw(m.prompt + delivered)
	} else {
		partial := raw(partialMessageWire{Role: "assistant", Content: delivered})
		messages := append(append([]json.RawMessage(nil), m.messages...), partial)
		fields["messages"] = raw(messages)
		fields["continue_final_message"] = raw(true)
		fields["add_generation_prompt"] = raw(false)
	}
	if m.maxTokens == 0 {
		return
	}
	delete(fields, "max_completion_tokens")
	fields["max_tokens"] = raw(m.maxTokens - tokens)
}

func raw(value any) json.RawMessage {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err) // plain data always encodes
	}
	return encoded
}

func badRequest(code, message string) *caller.Error {
	return &caller.Error{
		Status: http.StatusBadRequest, Code: code, Message: message, Run: caller.NotRun,
	}
}
