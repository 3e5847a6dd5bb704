package sse_test

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuspulley/hibiscuspulley/internal/sse"
)

func ExampleRawReader() {
	r := sse.NewRawReader(strings.NewReader("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"))
	for {
		e, err := r.Read()
		if err != nil {
			fmt.Println(err)
			return
		}
		fmt.Printf("%s %q\n", e.ID, e.Bytes)
	}
	// Output:
	// 1 "id: 1\ndata: a\n\n"
	// 2 "id: 2\ndata: b\n\n"
	// EOF
}

// A server that crashes can end its stream in the middle of an event.
func TestIncompleteEventIsNotReturned(t *testing.T) {
	for _, truncated := range []string{"id: 2\ndata: b", "id: 2\ndata: b\n", "i"} {
		r := sse.NewRawReader(iotest.OneByteReader(strings.NewReader("id: 1\ndata: a\n\n" + truncated)))
		_, err := r.Read()
		require.NoError(t, err)
		_, err = r.Read()
		require.ErrorIs(t, err, io.ErrUnexpectedEOF, truncated)
	}
}

func TestEventsWithCarriageReturnsAreComplete(t *testing.T) {
	r := sse.NewRawReader(strings.NewReader("id: 7\r\ndata: a\r\n\r\n"))
	e, err := r.Read()
	require.NoError(t, err)
	require.Equal(t, "7", string(e.ID))
}

func TestCommentsAreToldApart(t *testing.T) {
	r := sse.NewRawReader(strings.NewReader(": a\n\n:\r\n\r\n: a\nid: 1\n\ndata: b\n\n"))
	for _, want := range []bool{true, true, false, false} {
		e, err := r.Read()
		require.NoError(t, err)
		require.Equal(t, want, e.Comment, string(e.Bytes))
	}
}

func TestEventSizeIsLimited(t *testing.T) {
	_, err := sse.NewRawReader(strings.NewReader("data: " + strings.Repeat("x", 2<<20))).Read()
	require.ErrorContains(t, err, "longer than 1 MiB")
}
