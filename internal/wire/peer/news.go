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
	return &UpstreamNews{
		Service: serviceName, Upstream: n.Of.ID, StartedAt: timestamppb.New(n.Of.StartedAt),
		Limited: n.Advice.Limited, Limit: n.Advice.Limit, Age: durationpb.New(now.Sub(n.At)),
	}
}

// NewsFromProto converts news of an upstream from the wire. An age below zero counts as
// zero.
func NewsFromProto(m *UpstreamNews, now time.Time) upstream.News {
	return upstream.News{
		Of:     service.Incarnation{ID: m.Upstream, StartedAt: m.StartedAt.AsTime()},
		Advice: upstream.Advice{Limited: m.Limited, Limit: max(m.Limit, 0)},
		At:     now.Add(-max(m.Age.AsDuration(), 0)),
	}
}
