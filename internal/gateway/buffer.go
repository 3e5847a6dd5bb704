package gateway

import (
	"bytes"
	"io"
	"sync/atomic"

	"github.com/pkg/errors"
)

const (
	// maxPlainResponse limits a response body that is buffered in memory.
	maxPlainResponse = 16 << 20
	// maxBuffered limits all bodies that an entry buffers at a time. The smallest
	// instances have 184 MB.
	maxBuffered = 24 << 20
	// bufferStep is how many bytes are read at a time.
	bufferStep = 32 << 10
)

// responseBuffers limits the memory of buffered response bodies. It is safe for
// concurrent use.
type responseBuffers struct {
	used atomic.Int64
}

// read reads a body to its end. It fails if the body or the sum of all buffered
// bodies is too long. The caller must release the returned number of bytes, also
// after an error.
func (b *responseBuffers) read(body io.Reader) (content []byte, reserved int64, err error) {
	var buf bytes.Buffer
	for {
		if buf.Len() > maxPlainResponse {
			return nil, reserved, errors.Errorf("the response body is longer than %d bytes", maxPlainResponse)
		}
		if b.used.Add(bufferStep) > maxBuffered {
			b.used.Add(-bufferStep)
			return nil, reserved, errors.Errorf("the buffered response bodies are longer than %d bytes", maxBuffered)
		}
		reserved += bufferStep
		n, err := io.CopyN(&buf, body, bufferStep)
		if n < bufferStep && errors.Is(err, io.EOF) {
			return buf.Bytes(), reserved, nil
		}
		if err != nil {
			return nil, reserved, err
		}
	}
}

func (b *responseBuffers) release(n int64) { b.used.Add(-n) }
