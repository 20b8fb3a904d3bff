// Package http11 reads responses by the grammar of HTTP/1.1 (RFC 9112) where net/http accepts more: a
// status of 000 or a blank in the name of a header. An upstream in trouble that sends such bytes has not
// answered the request.
package http11

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"

	"github.com/samber/oops"
)

// Statuses of RFC 9110.
const (
	minStatus = 100
	maxStatus = 599
)

// ErrHeadTooLong means that the head of a response, with the interim ones before it, is longer than the
// limit.
var ErrHeadTooLong = errors.New("the head of the response is too long")

// errMalformed means that the head or the trailer of a response is not one by the grammar.
var errMalformed = errors.New("the response is malformed")

// malformed returns an error that wraps errMalformed.
func malformed(format string, args ...any) error {
	return oops.Code("upstream-answer").Wrapf(errMalformed, format, args...)
}

// HeadReader reads from a connection on which one response arrives, after any interim ones. It fails in a
// head that is malformed or too long.
type HeadReader struct {
	source io.Reader
	// left is the number of bytes that may be read before the head is complete.
	left int
	// line is the line that is being read, begun is set once the status line was read, fields counts the
	// lines after it.
	line   []byte
	begun  bool
	fields int
	// interim is set if the status is one after which another head follows, old if the version is
	// HTTP/1.0.
	interim  bool
	old      bool
	complete bool
	failure  error
}

// NewHeadReader returns a HeadReader that reads up to limit bytes from source before the head is
// complete, and any number after it.
func NewHeadReader(source io.Reader, limit int) *HeadReader {
	return &HeadReader{source: source, left: limit}
}

// Read implements io.Reader.
func (r *HeadReader) Read(p []byte) (int, error) {
	switch {
	case r.complete:
		return r.source.Read(p)
	case r.failure != nil:
		return 0, r.failure
	case r.left <= 0:
		return 0, ErrHeadTooLong
	}
	n, err := r.source.Read(p[:min(len(p), r.left)])
	r.left -= n
	if r.failure = r.check(p[:n]); r.failure != nil {
		return 0, r.failure
	}
	return n, err
}

// check checks the lines that end in b, until the head is complete.
func (r *HeadReader) check(b []byte) error {
	for !r.complete {
		end := bytes.IndexByte(b, '\n')
		if end < 0 {
			r.line = append(r.line, b...)
			return nil
		}
		line := append(r.line, b[:end]...)
		b, r.line = b[end+1:], r.line[:0]
		if err := r.checkLine(strings.TrimSuffix(string(line), "\r")); err != nil {
			return err
		}
	}
	r.line = nil
	return nil
}

// checkLine checks a line without its end.
func (r *HeadReader) checkLine(line string) error {
	switch {
	case !r.begun:
		status, err := parseStatusLine(line)
		r.begun, r.fields, r.old = true, 0, strings.HasPrefix(line, "HTTP/1.0")
		r.interim = status < http.StatusOK && status != http.StatusSwitchingProtocols
		return err
	case line == "":
		r.begun, r.complete = false, !r.interim
		return nil
	}
	r.fields++
	if line[0] == ' ' || line[0] == '\t' {
		// The value of the field before goes on (obs-fold).
		if r.fields == 1 || !isText(line) {
			return malformed("the head has a line without a name")
		}
		return nil
	}
	name, value, ok := strings.Cut(line, ":")
	if !ok || !isToken(name) || !isText(value) {
		return malformed("the head has a field that is none: %.40q", line)
	}
	if r.old && strings.EqualFold(name, "Transfer-Encoding") {
		return malformed("HTTP/1.0 has no transfer encodings")
	}
	return nil
}

// parseStatusLine returns the status of a status line.
func parseStatusLine(line string) (int, error) {
	const version = "HTTP/1.x "
	if len(line) < len(version)+4 || line[:7] != version[:7] || !isDigit(line[7]) || line[8] != ' ' || line[12] != ' ' || !isText(line[13:]) {
		return 0, malformed("the status line is none: %.40q", line)
	}
	status := 0
	for _, c := range []byte(line[9:12]) {
		if !isDigit(c) {
			return 0, malformed("the status line is none: %.40q", line)
		}
		status = 10*status + int(c-'0')
	}
	if status < minStatus || status > maxStatus {
		return 0, malformed("there is no status %03d", status)
	}
	return status, nil
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

// isText reports whether s consists of the bytes that the value of a field and a reason phrase may have.
func isText(s string) bool {
	for _, c := range []byte(s) {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// isToken reports whether s is the name of a field.
func isToken(s string) bool {
	for _, c := range []byte(s) {
		if !isDigit(c) && !('a' <= c && c <= 'z') && !('A' <= c && c <= 'Z') && !strings.ContainsRune("!#$%&'*+-.^_`|~", rune(c)) {
			return false
		}
	}
	return s != ""
}

// Check returns an error if a response that net/http has read is malformed. If its trailer is, reading its
// body to the end fails afterwards.
func Check(r *http.Response) error {
	if _, err := parseStatusLine(r.Proto + " " + r.Status); err != nil {
		return err
	}
	if err := checkNames(r.Header); err != nil {
		return err
	}
	r.Body = &body{r.Body, r}
	return nil
}

// checkNames returns an error if the names of the fields are none. net/http leaves the blanks in them.
func checkNames(h http.Header) error {
	for name := range h {
		if !isToken(name) {
			return malformed("a field has the name %.40q", name)
		}
	}
	return nil
}

// body is the body of a response whose trailer is checked at its end.
type body struct {
	io.ReadCloser
	response *http.Response
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		if trailerErr := checkNames(b.response.Trailer); trailerErr != nil {
			return n, trailerErr
		}
	}
	return n, err
}
