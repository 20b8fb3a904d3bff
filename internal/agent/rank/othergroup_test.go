package rank

import (
	"context"
	"testing"

	"bramleydeal/internal/core/group"
	"bramleydeal/internal/wire/orders"
	"bramleydeal/internal/wire/peer"
	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// namedEngine is an engine of the group gb.
type namedEngine struct{ stagingEngine }

func (e *namedEngine) Report(ctx context.Context) (Report, error) {
	r, err := e.stagingEngine.Report(ctx)
	r.Group = "gb"
	return r, err
}

func (e *namedEngine) ReportAnew(ctx context.Context) (Report, error) { return e.Report(ctx) }

// TestOrderForAnotherGroupIsNotCarriedOut guards against a rank that follows the leader of a group
// whose rank had its address before: both groups would run on two maps.
func TestOrderForAnotherGroupIsNotCarriedOut(t *testing.T) {
	is := is.New(t)
	e := &namedEngine{}
	r := New(nil, NewOrderAdapter(e, logr.Discard()), logr.Discard())
	collect := func(name string) *peer.GrantOrder {
		return orders.OrderToProto(name, group.Collect{Ballot: group.Ballot{Term: 9, Proposer: "w0"}})
	}
	stage := &peer.GrantOrder{Kind: peer.GrantOrder_STAGE, Group: "ga", Map: 7, Content: []byte("not read")}
	for _, m := range []*peer.GrantOrder{collect("ga"), stage} {
		reply, err := r.Order(t.Context(), m)
		is.Equal(status.Code(err), codes.FailedPrecondition)
		is.True(reply == nil) // its state is none of the leader's business
	}
	is.Equal(e.version, uint64(0)) // nothing was staged
	_, promised := r.LastOrder()
	is.Equal(promised, group.Ballot{})
	reply, err := r.Order(t.Context(), collect("gb"))
	is.NoErr(err)
	is.True(reply.Accepted)
}
