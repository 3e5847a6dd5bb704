package entry

import (
	"bytes"
	"encoding/json"
	"strconv"

	"github.com/pkg/errors"
)

// chunk is what the entry needs to know of one event of an answer.
type chunk struct {
	// text is the answer's next piece.
	text string
	// finish is the reason for the answer's end, empty before it.
	finish string
}

// errErrorEvent means that an answer ended with an error instead of its end.
var errErrorEvent = errors.New("the answer holds an error")

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
	contentStarts = [][]byte{[]byte(`"delta":{"content":"`), []byte(`,"text":"`)}
	unfinished    = []byte(`"finish_reason":null`)
)

// parseChunk reads an event's data. The usual shape is read without decoding
// the JSON, since this runs for every token.
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
		c.finish = choice.FinishReason
	}
	return c, nil
}

// scanText finds the text of an unfinished chunk that has one choice and no
// escapes in its text.
func scanText(data []byte) (string, bool) {
	if !bytes.Contains(data, unfinished) {
		return "", false
	}
	for _, start := range contentStarts {
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

// finishChunk returns the data of an answer's last chunk, for an answer whose
// text is complete but whose end got lost.
func finishChunk(g *generation) []byte {
	object, choice := "text_completion", `"text":""`
	if g.chat {
		object, choice = "chat.completion.chunk", `"delta":{}`
	}
	buf := []byte(`{"id":`)
	buf = strconv.AppendQuote(buf, g.answerID())
	buf = append(buf, `,"object":"`+object+`","created":`...)
	buf = strconv.AppendInt(buf, g.created, 10)
	buf = append(buf, `,"model":`...)
	buf = strconv.AppendQuote(buf, g.model)
	return append(buf, `,"choices":[{"index":0,`+choice+`,"finish_reason":"length"}]}`...)
}
