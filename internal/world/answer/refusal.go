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

// Refusal is an error of one kind, with what is particular to the occurrence.
type Refusal struct {
	Kind   Kind
	Detail string
	// RetryAfter overrides the table's time to come back when positive.
	RetryAfter time.Duration
}

// Refuse returns a refusal of kind k with a formatted detail.
func Refuse(k Kind, format string, args ...any) *Refusal {
	return &Refusal{Kind: k, Detail: fmt.Sprintf(format, args...)}
}

// After returns r with the time to come back set to d.
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

// openAIError is the error shape of the OpenAI interface, with the problem's
// members added beside its own.
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

// problem builds the document for one refusal; id is the request id.
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

func (r *Refusal) retryAfter(row Row) time.Duration {
	if r.RetryAfter > 0 {
		return r.RetryAfter
	}
	return row.RetryAfter
}

// wholeSeconds rounds up, since Retry-After has no fractions.
func wholeSeconds(d time.Duration) int { return int(math.Ceil(d.Seconds())) }

// Write answers w with the refusal as a problem document.
func (r *Refusal) Write(w http.ResponseWriter, id string) {
	p := r.problem(id)
	writeError(w, p, "application/problem+json", p)
}

// OpenAI returns the refusal's body in the OpenAI error shape.
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
		panic(err) // the shape holds nothing that can fail to marshal
	}
	return b
}

// WriteOpenAI answers w with the refusal in the OpenAI error shape.
func (r *Refusal) WriteOpenAI(w http.ResponseWriter, id string) {
	writeError(w, r.problem(id), "application/json", json.RawMessage(r.OpenAI(id)))
}

func writeError(w http.ResponseWriter, p Problem, contentType string, body any) {
	w.Header().Set("Content-Type", contentType)
	w.Header().Set("Bramleydeal-Run", string(p.Run))
	if p.RetryAllowed {
		w.Header().Set("Retry-After", strconv.Itoa(p.RetryAfterSeconds))
	} else {
		w.Header().Set("X-Should-Retry", "false")
	}
	w.WriteHeader(p.Status)
	// A write error means that the caller has gone; nothing is left to do.
	_ = json.NewEncoder(w).Encode(body)
}

// Reference returns docs/errors.md, generated from the table.
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
