package answer

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Refusal is an error of one kind, with the details of one occurrence.
type Refusal struct {
	Kind Kind
	// Detail is the explanation that the caller gets.
	Detail string
	// RetryAfter, if positive, overrides the delay in the table.
	RetryAfter time.Duration
}

// Refuse returns a refusal of kind k whose detail is formatted as by [fmt.Sprintf].
func Refuse(k Kind, format string, args ...any) *Refusal {
	return &Refusal{Kind: k, Detail: fmt.Sprintf(format, args...)}
}

// WithRetryAfter sets the delay before a retry to d and returns r.
func (r *Refusal) WithRetryAfter(d time.Duration) *Refusal {
	r.RetryAfter = d
	return r
}

// Error implements error.
func (r *Refusal) Error() string { return string(r.Kind) + ": " + r.Detail }

// Problem is an RFC 9457 problem document.
type Problem struct {
	Type              string    `json:"type"`
	Title             string    `json:"title"`
	Status            int       `json:"status"`
	Detail            string    `json:"detail,omitempty"`
	Instance          string    `json:"instance,omitempty"`
	Run               RunStatus `json:"run"`
	RetryAllowed      bool      `json:"retry-allowed"`
	RetryAfterSeconds int       `json:"retry-after-seconds,omitempty"`
}

// openAIError is an error in the format of the OpenAI API, extended by fields of Problem.
type openAIError struct {
	Error struct {
		Message           string    `json:"message"`
		Type              string    `json:"type"`
		Param             any       `json:"param"`
		Code              Kind      `json:"code"`
		Run               RunStatus `json:"run"`
		RetryAllowed      bool      `json:"retry-allowed"`
		RetryAfterSeconds int       `json:"retry-after-seconds,omitempty"`
	} `json:"error"`
}

// problem returns the problem document of the refusal. id is the request ID.
func (r *Refusal) problem(id string) Problem {
	row := Lookup(r.Kind)
	p := Problem{
		Type:         "urn:bramleydeal:error:" + string(row.Kind),
		Title:        strings.ReplaceAll(string(row.Kind), "-", " "),
		Status:       row.Status,
		Detail:       r.Detail,
		Instance:     id,
		Run:          row.Run,
		RetryAllowed: row.Retry,
	}
	if row.Retry {
		p.RetryAfterSeconds = wholeSeconds(r.retryAfter(row))
	}
	return p
}

// retryAfter returns the delay before a retry. row is the row of the refusal's kind.
func (r *Refusal) retryAfter(row Row) time.Duration {
	if r.RetryAfter > 0 {
		return r.RetryAfter
	}
	return row.RetryAfter
}

// wholeSeconds rounds d up to whole seconds, since Retry-After allows no fractions.
func wholeSeconds(d time.Duration) int { return int(math.Ceil(d.Seconds())) }

// Write writes the refusal to w as a problem document. id is the request ID.
func (r *Refusal) Write(w http.ResponseWriter, id string) {
	p := r.problem(id)
	writeError(w, p, "application/problem+json", p)
}

// OpenAI returns the response body in the OpenAI error format. id is the request ID.
func (r *Refusal) OpenAI(id string) []byte {
	p := r.problem(id)
	var e openAIError
	e.Error.Message = r.Detail
	e.Error.Type = Lookup(r.Kind).OpenAIType
	e.Error.Code = r.Kind
	e.Error.Run = p.Run
	e.Error.RetryAllowed = p.RetryAllowed
	e.Error.RetryAfterSeconds = p.RetryAfterSeconds
	b, err := json.Marshal(e)
	if err != nil {
		panic(err) // every field can be marshalled
	}
	return b
}

// WriteOpenAI writes the refusal to w in the OpenAI error format. id is the request ID.
func (r *Refusal) WriteOpenAI(w http.ResponseWriter, id string) {
	writeError(w, r.problem(id), "application/json", json.RawMessage(r.OpenAI(id)))
}

// writeError writes the headers and the status of p, and body as JSON.
func writeError(w http.ResponseWriter, p Problem, contentType string, body any) {
	w.Header().Set("Content-Type", contentType)
	w.Header().Set("Bramleydeal-Run", string(p.Run))
	if p.RetryAllowed {
		w.Header().Set("Retry-After", strconv.Itoa(p.RetryAfterSeconds))
	} else {
		w.Header().Set("X-Should-Retry", "false")
	}
	w.WriteHeader(p.Status)
	// A write error means that the caller has disconnected; there is nothing to do.
	_ = json.NewEncoder(w).Encode(body)
}

// ReferencePage returns the contents of docs/errors.md, generated from the table.
func ReferencePage() string {
	var b strings.Builder
	b.WriteString("# Errors\n\nGenerated from the table in internal/world/answer; a test holds this page to it.\n\n")
	b.WriteString("`run` says whether the request ran: `not-run` is a promise that it did not and that no copy of it will.\n")
	b.WriteString("For a request with an `Idempotency-Key` it speaks of every attempt under that key.\n")
	b.WriteString("`Retry-After` is the default; a refusal that can estimate a better time names it.\n\n")
	b.WriteString("| kind | status | run | retry allowed | Retry-After | meaning |\n|---|---|---|---|---|---|\n")
	for _, r := range table {
		retry, after := "no", "-"
		if r.Retry {
			retry, after = "yes", fmt.Sprintf("%d s", wholeSeconds(r.RetryAfter))
		}
		fmt.Fprintf(&b, "| `%s` | %d | `%s` | %s | %s | %s |\n", r.Kind, r.Status, r.Run, retry, after, r.Meaning)
	}
	return b.String()
}
