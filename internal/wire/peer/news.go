package peer

import (
	"time"

	"bramleydeal/internal/core/upstream"
	"bramleydeal/internal/world/service"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"
)

// NewsToProto converts news of an upstream of the named service for the wire. A time is
// sent as an age, since the clocks of two processes differ.
func NewsToProto(serviceName string, n upstream.News, now time.Time) *UpstreamNews {
	m := &UpstreamNews{
		Service: serviceName, Upstream: n.Of.ID, StartedAt: timestamppb.New(n.Of.StartedAt), Leaving: n.Leaving,
	}
	if !n.LimitAt.IsZero() {
		m.Limited, m.Limit, m.LimitAge = n.Limited, n.Limit, durationpb.New(now.Sub(n.LimitAt))
	}
	if !n.EndedAt.IsZero() {
		m.EndedAge = durationpb.New(now.Sub(n.EndedAt))
	}
	return m
}

// NewsFromProto converts news of an upstream from the wire. An age or a limit below zero
// counts as zero.
func NewsFromProto(m *UpstreamNews, now time.Time) upstream.News {
	n := upstream.News{Of: service.Incarnation{ID: m.Upstream, StartedAt: m.StartedAt.AsTime()}, Leaving: m.Leaving}
	if m.LimitAge != nil {
		n.Limited, n.Limit, n.LimitAt = m.Limited, max(m.Limit, 0), now.Add(-max(m.LimitAge.AsDuration(), 0))
	}
	if m.EndedAge != nil {
		n.EndedAt = now.Add(-max(m.EndedAge.AsDuration(), 0))
	}
	return n
}

// PromptNewsToProto converts news of a subject, a part of prompts or a whole request to the
// named service, for the wire.
func PromptNewsToProto(serviceName string, subject upstream.Subject, n upstream.SuspectNews, now time.Time) *PromptNews {
	_, whole := subject.(upstream.WholeRequests)
	m := &PromptNews{Service: serviceName, Part: n.Part, WholeRequest: whole}
	for _, e := range n.Ends {
		m.Ends = append(m.Ends, &UpstreamEnd{Upstream: e.Of.ID, StartedAt: timestamppb.New(e.Of.StartedAt), Age: durationpb.New(now.Sub(e.At))})
	}
	if !n.ProvenAt.IsZero() {
		m.ProvenAge = durationpb.New(now.Sub(n.ProvenAt))
	}
	return m
}

// PromptNewsFromProto converts news of a part of prompts or a whole request from the wire. An
// age below zero counts as zero.
func PromptNewsFromProto(m *PromptNews, now time.Time) upstream.SuspectNews {
	n := upstream.SuspectNews{Part: m.Part}
	for _, e := range m.Ends {
		n.Ends = append(n.Ends, upstream.End{
			Of: service.Incarnation{ID: e.Upstream, StartedAt: e.StartedAt.AsTime()}, At: now.Add(-max(e.Age.AsDuration(), 0)),
		})
	}
	if m.ProvenAge != nil {
		n.ProvenAt = now.Add(-max(m.ProvenAge.AsDuration(), 0))
	}
	return n
}
