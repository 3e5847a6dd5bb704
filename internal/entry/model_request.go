package entry

import (
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"github.com/hibiscuspulley/hibiscuspulley/pkg/caller"
)

// modelRequest is a chat or completion request with the fields that the entry
// interprets. All other fields except stream_options are passed to the engine
// unchanged.
type modelRequest struct {
	// original is the body as the caller sent it.
	original []byte
	model    string
	stream   bool
	// maxTokens is the larger of max_tokens and max_completion_tokens; 0 means no
	// limit.
	maxTokens int
	priority  int
	// messages is set for a chat request, prompt for a completion request.
	messages []json.RawMessage
	prompt   string
	// continueFinal is true if the caller asked the engine to continue the last
	// message.
	continueFinal bool
	// passThrough is true if the body asks for a stream and has no stream_options.
	// It can be sent unchanged to an engine that uses the same model name.
	passThrough bool
}

// modelRequestWire declares the interpreted fields of an OpenAI request.
type modelRequestWire struct {
	Model               string            `json:"model"`
	Stream              bool              `json:"stream"`
	StreamOptions       json.RawMessage   `json:"stream_options"`
	MaxTokens           int               `json:"max_tokens"`
	MaxCompletionTokens int               `json:"max_completion_tokens"`
	Priority            int               `json:"priority"`
	ChoiceCount         *int              `json:"n"`
	Messages            []json.RawMessage `json:"messages"`
	Prompt              json.RawMessage   `json:"prompt"`
	ContinueFinal       bool              `json:"continue_final_message"`
}

// parseModelRequest parses and validates the body of a chat or completion
// request. The result is valid only if the error is nil.
func parseModelRequest(body []byte, chat bool) (*modelRequest, *caller.Error) {
	var w modelRequestWire
	if err := json.Unmarshal(body, &w); err != nil {
		return nil, decodeError(err)
	}
	m := &modelRequest{
		original: body, model: w.Model, stream: w.Stream, priority: w.Priority,
		maxTokens:     max(w.MaxTokens, w.MaxCompletionTokens),
		continueFinal: w.ContinueFinal,
		passThrough:   w.Stream && w.StreamOptions == nil,
	}
	if chat {
		m.messages = w.Messages
	} else if json.Unmarshal(w.Prompt, &m.prompt) != nil {
		return nil, badRequest("missing-prompt", "the field prompt is missing or not a string; set it to a string")
	}
	choiceCount := 1
	if w.ChoiceCount != nil {
		choiceCount = *w.ChoiceCount
	}
	if min(w.MaxTokens, w.MaxCompletionTokens) < 0 {
		return nil, badRequest("invalid-field", "max_tokens and max_completion_tokens must not be negative")
	}
	return m, m.validate(chat, choiceCount)
}

// decodeError returns the error for a body that can't be decoded. It names the
// field if a field has the wrong type.
func decodeError(err error) *caller.Error {
	var field *json.UnmarshalTypeError
	if errors.As(err, &field) && field.Field != "" {
		return badRequest("invalid-field", "the field "+field.Field+" must not be of type "+field.Value)
	}
	return badRequest("invalid-json", "the request body is not a valid JSON object: "+err.Error())
}

func (m *modelRequest) validate(chat bool, choiceCount int) *caller.Error {
	switch {
	case m.model == "":
		return badRequest("missing-model", "the field model is missing; set it to a model listed by GET /v1/models")
	case chat && len(m.messages) == 0:
		return badRequest("missing-messages", "the field messages is missing or empty")
	case !chat && m.prompt == "":
		return badRequest("missing-prompt", "the field prompt is missing or empty; set it to a string")
	case choiceCount != 1:
		return badRequest("unsupported-n", "only one choice per request is supported; omit n or set it to 1")
	}
	return nil
}

type partialMessageWire struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// body returns the request body for a target that knows the model by the given
// name. It always requests a stream. delivered and tokens are the text and the
// number of tokens that the caller has received; the engine continues after them.
func (m *modelRequest) body(model, delivered string, tokens int) []byte {
	if m.passThrough && model == m.model && delivered == "" {
		return m.original
	}
	fields := make(map[string]json.RawMessage)
	if err := json.Unmarshal(m.original, &fields); err != nil {
		panic(err) // parseModelRequest decoded the same bytes
	}
	fields["model"] = mustMarshal(model)
	fields["stream"] = mustMarshal(true)
	delete(fields, "stream_options")
	if delivered != "" {
		m.continueAfter(fields, delivered, tokens)
	}
	return mustMarshal(fields)
}

// continueAfter changes the fields so that the engine continues after the
// delivered text. For a chat, the text becomes a partial final message, which
// chat templates continue if continue_final_message is set. The token limit is
// reduced by the delivered tokens.
func (m *modelRequest) continueAfter(fields map[string]json.RawMessage, delivered string, tokens int) {
	if m.messages == nil {
		fields["prompt"] = mustMarshal(m.prompt + delivered)
	} else {
		fields["messages"] = mustMarshal(m.withPartial(delivered))
		fields["continue_final_message"] = mustMarshal(true)
		fields["add_generation_prompt"] = mustMarshal(false)
	}
	if m.maxTokens == 0 {
		return
	}
	delete(fields, "max_completion_tokens")
	fields["max_tokens"] = mustMarshal(m.maxTokens - tokens)
}

// withPartial returns the messages with the delivered text as a partial last
// message. If the caller's last message is to be continued and its content is a
// string, the text is appended to that message, of which only the role and the
// content are kept.
func (m *modelRequest) withPartial(delivered string) []json.RawMessage {
	messages := append([]json.RawMessage(nil), m.messages...)
	partial := partialMessageWire{Role: "assistant"}
	last := len(messages) - 1
	if m.continueFinal && json.Unmarshal(messages[last], &partial) == nil {
		messages = messages[:last]
	}
	partial.Content += delivered
	return append(messages, mustMarshal(partial))
}

// mustMarshal encodes a value as JSON. It panics if the value can't be encoded.
func mustMarshal(value any) json.RawMessage {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err) // the values passed here always encode
	}
	return encoded
}

func badRequest(code, message string) *caller.Error {
	return &caller.Error{
		Status: http.StatusBadRequest, Code: code, Message: message, Run: caller.NotRun,
	}
}
