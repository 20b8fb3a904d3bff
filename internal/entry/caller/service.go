package caller

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"bramleydeal/internal/settings/reference"
	"bramleydeal/internal/settings/tree"
	"bramleydeal/internal/wire/header"
	"bramleydeal/internal/wire/peer"
	"bramleydeal/internal/world/answer"
	"github.com/go-chi/chi/v5"
)

// randomKey returns a random key for a request without an idempotency key.
func randomKey() string { return strconv.FormatUint(rand.Uint64(), 36) }

// nextAttemptKey derives the key for a request's next attempt, so that no two
// attempts share a response.
func nextAttemptKey(key string, attempt int) string { return key + "." + strconv.Itoa(attempt+1) }

// upstreamHeaders returns the caller's headers that are forwarded, sorted, with
// the client account added. Hop-by-hop headers, the API key, Last-Event-ID and
// the system's own headers are left out.
func upstreamHeaders(from http.Header, account string) []*peer.Header {
	out := []*peer.Header{{Name: ownHeaderPrefix + "Account", Value: account}}
	for name, values := range from {
		if header.IsHopByHop(name) || name == "Authorization" || name == lastEventIDHeader || strings.HasPrefix(name, ownHeaderPrefix) {
			continue
		}
		for _, v := range values {
			out = append(out, &peer.Header{Name: name, Value: v})
		}
	}
	slices.SortStableFunc(out, func(a, b *peer.Header) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// service serves /services/{service}/...
func (h *Handler) service(w http.ResponseWriter, r *http.Request, rq *request) {
	if refusal := h.findService(rq, chi.URLParam(r, "service")); refusal != nil {
		h.refuse(w, rq, refusal)
		return
	}
	if refusal := h.readBody(w, r, rq); refusal != nil {
		h.refuse(w, rq, refusal)
		return
	}
	key := r.Header.Get(keyHeader)
	if len(key) > maxKeyLength {
		h.refuse(w, rq, answer.Refuse(answer.InvalidRequest, "Idempotency-Key: at most %d bytes", maxKeyLength))
		return
	}
	x := h.executeRequest(r, rq, servicePath(r))
	idempotent := slices.Contains(tree.Get(rq.snapshot.Tree, rq.scope, reference.IdempotentMethods), r.Method)
	switch {
	case key != "":
		x.Key = key
		h.runKeyed(w, r, rq, x)
	case idempotent:
		h.runIdempotent(w, r, rq, plan{execute: x})
	default:
		h.runUnkeyed(w, r, rq, x)
	}
}

// findService sets the scope to a service. It refuses a service that does not
// exist or that the client account may not use.
func (h *Handler) findService(rq *request, name string) *answer.Refusal {
	if !rq.snapshot.HasService(name) {
		return answer.Refuse(answer.NotFound, "there is no service %q", name)
	}
	if !rq.snapshot.Allowed(rq.account, name) {
		return answer.Refuse(answer.Forbidden, "the client account may not use the service %q", name)
	}
	rq.scope.Service = name
	return nil
}

// servicePath returns the path and query that are sent to the upstream.
func servicePath(r *http.Request) string {
	path := "/" + chi.URLParam(r, "*")
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}

// session binds a caller to an agent, the session's owner, and to one term, that
// is, generation, of the agent's ledger. The caller holds it as a token.
type session struct{ agent, term string }

// token returns a new token for the session: AGENT~TERM~RANDOM.
func (s session) token() string { return s.agent + "~" + s.term + "~" + randomKey() }

// parseSession parses a session token.
func parseSession(token string) (session, bool) {
	parts := strings.Split(token, "~")
	if len(parts) != 3 || parts[0] == "" || parts[1] == "" {
		return session{}, false
	}
	return session{agent: parts[0], term: parts[1]}, true
}

// openSession serves POST /sessions.
func (h *Handler) openSession(w http.ResponseWriter, r *http.Request, rq *request) {
	if refusal := h.readBody(w, r, rq); refusal != nil {
		h.refuse(w, rq, refusal)
		return
	}
	var body struct {
		Service string `json:"service"`
	}
	if err := json.Unmarshal(rq.body, &body); err != nil {
		h.refuse(w, rq, answer.Refuse(answer.InvalidRequest, "send {\"service\": NAME}"))
		return
	}
	if refusal := h.findService(rq, body.Service); refusal != nil {
		h.refuse(w, rq, refusal)
		return
	}
	s, ok := h.newSession(r.Context(), rq)
	if !ok {
		h.refuse(w, rq, answer.Refuse(answer.NoUpstream, "no upstream of %q can be reached", body.Service))
		return
	}
	token := s.token()
	w.Header().Set(SessionHeader, token)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusCreated)
	// Write errors are ignored: they mean that the caller is gone.
	_ = json.NewEncoder(w).Encode(map[string]string{"session": token, "service": body.Service})
}
