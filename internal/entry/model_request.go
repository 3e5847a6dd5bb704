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
	chat      bool
	// continueFinal is true if the caller asked the engine to continue the last
	// message.
	continueFinal bool
	// passThrough is true if the body asks for a stream and has no stream_options.
	// It can be sent unchanged to an engine that uses the same model name.
	passThrough bool
}

// presentWire is a field of which only the presence counts. It takes no memory however
// long the field is.
type presentWire bool

// UnmarshalJSON implements json.Unmarshaler.
func (p *presentWire) UnmarshalJSON([]byte) error {
	*p = true
	return nil
}

// elementWire is an element of an array that is only counted. It takes no memory, also
// in an array of many elements.
type elementWire struct{}

// UnmarshalJSON implements json.Unmarshaler.
func (*elementWire) UnmarshalJSON([]byte) error { return nil }

// textWire is a string field of which only the kind counts.
type textWire struct {
	// valid is set for a string or null, filled for a string that is not empty.
	valid, filled bool
}

// UnmarshalJSON implements json.Unmarshaler.
func (t *textWire) UnmarshalJSON(value []byte) error {
	text := value[0] == '"'
	*t = textWire{valid: text || value[0] == 'n', filled: text && len(value) > len(`""`)}
	return nil
}

// modelRequestWire declares the interpreted fields of an OpenAI request.
type modelRequestWire struct {
	Model               string        `json:"model"`
	Stream              bool          `json:"stream"`
	StreamOptions       presentWire   `json:"stream_options"`
	MaxTokens           int           `json:"max_tokens"`
	MaxCompletionTokens int           `json:"max_completion_tokens"`
	Priority            int           `json:"priority"`
	ChoiceCount         *int          `json:"n"`
	Messages            []elementWire `json:"messages"`
	Prompt              textWire      `json:"prompt"`
	ContinueFinal       bool          `json:"continue_final_message"`
}

// parseModelRequest parses and validates the body of a chat or completion
// request. The result is valid only if the error is nil.
func parseModelRequest(body []byte, chat bool) (*modelRequest, *caller.Error) {
	var w modelRequestWire
	if err := json.Unmarshal(body, &w); err != nil {
		return nil, decodeError(err)
	}
	m := &modelRequest{
		original: body, model: w.Model, stream: w.Stream, priority: w.Priority, chat: chat,
		maxTokens:     max(w.MaxTokens, w.MaxCompletionTokens),
		continueFinal: w.ContinueFinal,
		passThrough:   w.Stream && !bool(w.StreamOptions),
	}
	if !chat && !w.Prompt.valid {
		return nil, badRequest("missing-prompt", "the field prompt is missing or not a string; set it to a string")
	}
	choiceCount := 1
	if w.ChoiceCount != nil {
		choiceCount = *w.ChoiceCount
	}
	if min(w.MaxTokens, w.MaxCompletionTokens) < 0 {
		return nil, badRequest("invalid-field", "max_tokens and max_completion_tokens must not be negative")
	}
	return m, m.validate(choiceCount, len(w.Messages), w.Prompt.filled)
}

// decodeError returns the error for a body that can't be decoded. It names the
// field if a field has the wrong type.
func decodeError(err error) *caller.Error {
	var field *json.UnmarshalTypeError
	if errors.As(err, &field) && field.Field != "" {
		return badRequest("invalid-field", "the field "+shorten(field.Field)+" must not be of type "+shorten(field.Value))
	}
	return badRequest("invalid-json", "the request body is not a valid JSON object: "+shorten(err.Error()))
}

// maxQuoted is how many bytes of a request an error message repeats.
const maxQuoted = 256

// shorten returns a text of the caller for an error message.
func shorten(text string) string {
	if len(text) <= maxQuoted {
		return text
	}
	return text[:maxQuoted] + "…"
}

func (m *modelRequest) validate(choiceCount, messages int, hasPrompt bool) *caller.Error {
	switch {
	case m.model == "":
		return badRequest("missing-model", "the field model is missing; set it to a model listed by GET /v1/models")
	case m.chat && messages == 0:
		return badRequest("missing-messages", "the field messages is missing or empty")
	case !m.chat && !hasPrompt:
		return badRequest("missing-prompt", "the field prompt is missing or empty; set it to a string")
	case choiceCount != 1:
		return badRequest("unsupported-n", "only one choice per request is supported; omit n or set it to 1")
	}
	return nil
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
