package http11

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
)

// TestHeadReaderPassesSoundHeads guards against taking a response for a malformed one: whatever the pieces
// in which it arrives, all its bytes are passed on.
func TestHeadReaderPassesSoundHeads(t *testing.T) {
	for name, response := range map[string]string{
		"no reason":            "HTTP/1.1 200 \r\n\r\n",
		"reason of any text":   "HTTP/1.1 404 Nicht gefunden: \tgr\xfc\xdfe\r\nA: 1\r\n\r\nbody",
		"lines of LF":          "HTTP/1.1 200 OK\nA: 1\n\nbody",
		"interim heads":        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nA: 1\r\n\r\nbody",
		"HTTP/1.0":             "HTTP/1.0 200 OK\r\nA: 1\r\n\r\nbody",
		"all kinds of tokens":  "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: \tv \r\nempty:\r\n\r\nbody",
		"folded value":         "HTTP/1.1 200 OK\r\nA: 1\r\n 2\r\n\r\nbody",
		"body like a head":     "HTTP/1.1 200 OK\r\n\r\nHTTP/1.1 000 \r\n: \x01\r\n\r\n",
		"last of the statuses": "HTTP/1.1 599 \r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for _, source := range []io.Reader{strings.NewReader(response), iotest.OneByteReader(strings.NewReader(response))} {
				passed, err := io.ReadAll(NewHeadReader(source, 1<<10))
				is.NoErr(err)
				is.Equal(string(passed), response)
			}
		})
	}
}

// TestHeadReaderEndsAtLimit guards against heads without end, interim ones included.
func TestHeadReaderEndsAtLimit(t *testing.T) {
	for name, response := range map[string]string{
		"a long line":   "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("x", 1<<10),
		"many lines":    "HTTP/1.1 200 OK\r\n" + strings.Repeat("A: 1\r\n", 1<<8),
		"interim heads": strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 1<<8),
	} {
		t.Run(name, func(t *testing.T) {
			_, err := io.ReadAll(NewHeadReader(strings.NewReader(response), 1<<9))
			is.New(t).True(errors.Is(err, ErrHeadTooLong))
		})
	}
}

// FuzzHeadReader checks that the pieces in which a response arrives don't change what is passed on.
func FuzzHeadReader(f *testing.F) {
	f.Add("HTTP/1.1 200 OK\r\nA: 1\r\n\r\nbody")
	f.Add("HTTP/1.1 103 Early Hints\r\nX Y: 1\r\n\r\n")
	f.Fuzz(func(t *testing.T, response string) {
		whole, wholeErr := io.ReadAll(NewHeadReader(strings.NewReader(response), 1<<10))
		pieces, piecesErr := io.ReadAll(NewHeadReader(iotest.OneByteReader(strings.NewReader(response)), 1<<10))
		if (wholeErr == nil) != (piecesErr == nil) || wholeErr == nil && string(whole) != string(pieces) {
			t.Errorf("%q and %v, in pieces %q and %v", whole, wholeErr, pieces, piecesErr)
		}
	})
}
