package upstream

import (
	"time"

	"bramleydeal/internal/world/fleet"
	"bramleydeal/internal/world/service"
)

// Content is what a request consists of, as far as requests are told apart.
type Content struct {
	// Identity is the identity of the whole request, empty if it is not known.
	Identity string
	// Parts are the parts of its prompt that other requests may have too.
	Parts []string
}

// identities returns the identity as the only part of the request.
func (c Content) identities() []string {
	if c.Identity == "" {
		return nil
	}
	return []string{c.Identity}
}

// Empty reports whether nothing is known of the request.
func (c Content) Empty() bool { return c.Identity == "" && len(c.Parts) == 0 }

// ContentSuspects tracks the contents of the requests to a service on which upstreams may end.
type ContentSuspects struct {
	// Parts tracks parts of prompts, Requests whole requests.
	Parts, Requests *Suspects
}

// NewContentSuspects returns ContentSuspects for the process named self.
func NewContentSuspects(self string) *ContentSuspects {
	return &ContentSuspects{NewSuspects(self, PromptParts{}), NewSuspects(self, WholeRequests{})}
}

// Configure sets the processes that share the trials, this one included.
func (s *ContentSuspects) Configure(entries []fleet.Instance) {
	s.Parts.Configure(entries)
	s.Requests.Configure(entries)
}

// HeldContent is what requests are held back for.
type HeldContent int

// What requests are held back for.
const (
	NothingHeld HeldContent = iota
	PartHeld
	RequestHeld
)

// Admit reports whether a request with content c may be sent at now. If not, it returns why,
// and the time after which one like it may be sent by some process.
func (s *ContentSuspects) Admit(c Content, now time.Time) (why HeldContent, wait time.Duration) {
	requestTrials, wait := s.Requests.trials(c.identities(), now)
	if wait > 0 {
		return RequestHeld, wait
	}
	partTrials, wait := s.Parts.trials(c.Parts, now)
	if wait > 0 {
		return PartHeld, wait
	}
	recordTrials(requestTrials, now)
	recordTrials(partTrials, now)
	return NothingHeld, 0
}

// Implicated is what an end changed.
type Implicated struct {
	// Parts and Requests are held back because of it.
	Parts, Requests []string
	// Learned is true if peers may not know all of it.
	Learned bool
}

// Held reports whether anything is held back because of the end.
func (i Implicated) Held() bool { return len(i.Parts)+len(i.Requests) > 0 }

// RecordEnd records that an upstream ended at now while requests with the given contents had made
// no progress there.
func (s *ContentSuspects) RecordEnd(of service.Incarnation, contents []Content, now time.Time) Implicated {
	var out Implicated
	for _, c := range contents {
		parts, learnedParts := s.Parts.RecordEnd(of, c.Parts, now)
		requests, learnedRequest := s.Requests.RecordEnd(of, c.identities(), now)
		out.Parts, out.Requests = append(out.Parts, parts...), append(out.Requests, requests...)
		out.Learned = out.Learned || learnedParts || learnedRequest
	}
	return out
}

// RecordProgress records that a request with content c made progress at an upstream. It returns
// the parts and the request that were held back until now.
func (s *ContentSuspects) RecordProgress(c Content, now time.Time) (parts, requests []string) {
	return s.Parts.RecordProgress(c.Parts, now), s.Requests.RecordProgress(c.identities(), now)
}

// Conclusive reports whether so much speaks against content c at now that a request with it is to
// be cancelled if it is at an upstream that has not begun to answer.
func (s *ContentSuspects) Conclusive(c Content, now time.Time) bool {
	return s.Parts.Conclusive(c.Parts, now) || s.Requests.Conclusive(c.identities(), now)
}

// Age makes all that is known older by d.
func (s *ContentSuspects) Age(d time.Duration) {
	s.Parts.Age(d)
	s.Requests.Age(d)
}
