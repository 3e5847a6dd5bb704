package entry

import (
	"bytes"
	"encoding/json"
	"slices"
	"strconv"
)

type partialMessageWire struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// bodyField is a field of a rewritten body. Its value consists of parts, which may
// refer to the original body. A field without parts is left out.
type bodyField struct {
	name  string
	parts [][]byte
}

// body returns the request body for a target that knows the model by the given
// name. It always requests a stream. delivered and tokens are the text and the
// number of tokens that the caller has received; the engine continues after them.
func (m *modelRequest) body(model, delivered string, tokens int) []byte {
	if m.passThrough && model == m.model && delivered == "" {
		return m.original
	}
	fields := []bodyField{
		{"model", [][]byte{mustMarshal(model)}}, {"stream", [][]byte{[]byte("true")}}, {"stream_options", nil},
	}
	if delivered != "" {
		fields = append(fields, m.continueAfter(delivered, tokens)...)
	}
	return m.rewrite(fields)
}

// rewrite returns the original body with other fields. It copies the body once, since
// bodies are large.
func (m *modelRequest) rewrite(fields []bodyField) []byte {
	size := len("{}")
	for _, f := range fields {
		size += len(f.name) + len(`"":,`)
		for _, part := range f.parts {
			size += len(part)
		}
	}
	kept := func(yield func(name, value []byte)) {
		for name, value := range jsonMembers(m.original) {
			decoded := decodeName(name)
			// encoding/json ignores the case of names, so the entry has read this field.
			replaced := func(f bodyField) bool { return bytes.EqualFold(decoded, []byte(f.name)) }
			if !slices.ContainsFunc(fields, replaced) {
				yield(name, value)
			}
		}
	}
	kept(func(name, value []byte) { size += len(name) + len(value) + len(`:,`) })
	body := append(make([]byte, 0, size), '{')
	for _, f := range fields {
		if f.parts == nil {
			continue
		}
		body = append(strconv.AppendQuote(body, f.name), ':')
		for _, part := range f.parts {
			body = append(body, part...)
		}
		body = append(body, ',')
	}
	kept(func(name, value []byte) {
		body = append(append(body, name...), ':')
		body = append(append(body, value...), ',')
	})
	body[len(body)-1] = '}' // there is always the field model
	return body
}

// decodeName returns the name of a member. It decodes no name that is longer than all
// names that are replaced, and copies only names with escapes, since a body may have
// many members.
func decodeName(name []byte) []byte {
	const longest = 200
	if len(name) > longest {
		return nil
	}
	if !bytes.Contains(name, []byte{'\\'}) {
		return name[1 : len(name)-1]
	}
	decoded := ""
	if json.Unmarshal(name, &decoded) != nil {
		return nil
	}
	return []byte(decoded)
}

// continueAfter returns the fields that make the engine continue after the delivered
// text. For a chat, the text becomes a partial final message, which chat templates
// continue if continue_final_message is set. The token limit is reduced by the
// delivered tokens.
func (m *modelRequest) continueAfter(delivered string, tokens int) []bodyField {
	var fields []bodyField
	if m.chat {
		fields = []bodyField{
			{"messages", m.withPartial(delivered)},
			{"continue_final_message", [][]byte{[]byte("true")}},
			{"add_generation_prompt", [][]byte{[]byte("false")}},
		}
	} else {
		// The text continues the string of the prompt.
		prompt := m.field("prompt")
		fields = []bodyField{{"prompt", [][]byte{prompt[:len(prompt)-1], mustMarshal(delivered)[1:]}}}
	}
	if m.maxTokens == 0 {
		return fields
	}
	return append(fields, bodyField{"max_completion_tokens", nil},
		bodyField{"max_tokens", [][]byte{mustMarshal(m.maxTokens - tokens)}})
}

// field returns the value of the last member with the name, as the caller sent it. Like
// encoding/json, it ignores the case of names.
func (m *modelRequest) field(wanted string) []byte {
	var found []byte
	for name, value := range jsonMembers(m.original) {
		if bytes.EqualFold(decodeName(name), []byte(wanted)) {
			found = value
		}
	}
	return found
}

// withPartial returns the parts of the messages with the delivered text as a partial
// last message. If the caller's last message is to be continued and its content is a
// string, the text is appended to that message, of which only the role and the
// content are kept.
func (m *modelRequest) withPartial(delivered string) [][]byte {
	messages := m.field("messages")
	start, end := lastElement(messages)
	partial := partialMessageWire{Role: "assistant"}
	before := [][]byte{messages[:end], []byte(",")}
	if m.continueFinal && json.Unmarshal(messages[start:end], &partial) == nil {
		before = [][]byte{messages[:start]}
	}
	partial.Content += delivered
	return append(before, mustMarshal(partial), []byte("]"))
}
