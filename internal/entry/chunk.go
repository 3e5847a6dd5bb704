package entry

import (
	"bytes"
	"encoding/json"
	"strconv"

	"github.com/pkg/errors"
)

// chunk holds the parsed fields of one event of a streamed response.
type chunk struct {
	// text is the generated text of the event.
	text string
	// finishReason is the finish reason; empty before the last chunk.
	finishReason string
}

// errErrorEvent means that the engine sent an error event instead of a chunk.
var errErrorEvent = errors.New("the engine sent an error event")

type chunkWire struct {
	Error   json.RawMessage `json:"error"`
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
}

var (
	textPrefixes     = [][]byte{[]byte(`"delta":{"content":"`), []byte(`,"text":"`)}
	nullFinishReason = []byte(`"finish_reason":null`)
)

// parseChunk parses an event's data. It runs for every token, so the usual
// format is scanned without decoding the JSON. It returns errErrorEvent for an
// error event.
func parseChunk(data []byte) (chunk, error) {
	if text, ok := scanText(data); ok {
		return chunk{text: text}, nil
	}
	var w chunkWire
	if err := json.Unmarshal(data, &w); err != nil {
		return chunk{}, err
	}
	if w.Error != nil {
		return chunk{}, errErrorEvent
	}
	var c chunk
	for _, choice := range w.Choices {
		c.text += choice.Text + choice.Delta.Content
		c.finishReason = choice.FinishReason
	}
	return c, nil
}

// scanText extracts the text of a chunk without a finish reason. It returns
// false if the chunk must be decoded, for example because its text contains
// escapes.
func scanText(data []byte) (string, bool) {
	if !bytes.Contains(data, nullFinishReason) {
		return "", false
	}
	for _, start := range textPrefixes {
		_, rest, found := bytes.Cut(data, start)
		if !found {
			continue
		}
		end := bytes.IndexByte(rest, '"')
		if end < 0 || bytes.IndexByte(rest[:end], '\\') >= 0 {
			return "", false
		}
		return string(rest[:end]), true
	}
	return "", false
}

// finishChunk returns the data of a last chunk for a response that has reached its
// token limit, but whose own last chunk was lost with the engine's stream.
func finishChunk(g *generation) []byte {
	object, choice := "text_completion", `"text":""`
	if g.chat {
		object, choice = "chat.completion.chunk", `"delta":{}`
	}
	buf := []byte(`{"id":`)
	buf = strconv.AppendQuote(buf, g.responseID())
	buf = append(buf, `,"object":"`+object+`","created":`...)
	buf = strconv.AppendInt(buf, g.created, 10)
	buf = append(buf, `,"model":`...)
	buf = strconv.AppendQuote(buf, g.model)
	return append(buf, `,"choices":[{"index":0,`+choice+`,"finish_reason":"length"}]}`...)
}
