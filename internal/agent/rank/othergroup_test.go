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
		return orders.OrderToProto(name, "", group.Collect{Ballot: group.Ballot{Term: 9, Proposer: "w0"}})
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

// rankOfGroup is an engine that tells its rank in the group gb, or that it is in none.
type rankOfGroup struct {
	stagingEngine
	rank string
}

func (e *rankOfGroup) Report(ctx context.Context) (Report, error) {
	r, err := e.stagingEngine.Report(ctx)
	if r.Rank = e.rank; e.rank != "" {
		r.Group = "gb"
	}
	return r, err
}

func (e *rankOfGroup) ReportAnew(ctx context.Context) (Report, error) { return e.Report(ctx) }

// TestOrderForAnotherRankIsNotCarriedOut guards against a rank that follows its leader's orders for
// another one, which it had been before or whose address it has now: the leader counted its
// promises twice, and the true rank was left on another map.
func TestOrderForAnotherRankIsNotCarriedOut(t *testing.T) {
	ballot := group.Ballot{Term: 9, Proposer: "w0"}
	stage := &peer.GrantOrder{Kind: peer.GrantOrder_STAGE, Group: "gb", Rank: "2", Map: 7, Content: []byte("not read")}
	for name, engineRank := range map[string]string{"another rank": "3", "in no group": ""} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := &rankOfGroup{rank: engineRank}
			r := New(namedGroup{"5", 6}, NewOrderAdapter(e, logr.Discard()), logr.Discard())
			for i, m := range []*peer.GrantOrder{
				orders.OrderToProto("gb", "2", group.Collect{Ballot: ballot}), orders.OrderToProto("gb", "2", group.Collect{Ballot: ballot, Confirm: true}),
				orders.OrderToProto("gb", "2", group.Hold{Ballot: ballot, Step: 9}), orders.OrderToProto("gb", "2", group.Give{Ballot: ballot}),
				orders.OrderToProto("gb", "2", group.Restore{Ballot: ballot}), stage,
			} {
				reply, err := r.Order(t.Context(), m)
				is.Equal(status.Code(err), codes.FailedPrecondition)
				is.True(reply == nil)
				is.Equal(r.Stats().Misdirected.Load(), uint64(i+1))
			}
			is.Equal(e.version, uint64(0)) // nothing was staged
			_, promised := r.LastOrder()
			is.Equal(promised, group.Ballot{})
		})
	}
	t.Run("its own", func(t *testing.T) {
		is := is.New(t)
		r := New(namedGroup{"5", 6}, NewOrderAdapter(&rankOfGroup{rank: "3"}, logr.Discard()), logr.Discard())
		reply, err := r.Order(t.Context(), orders.OrderToProto("gb", "3", group.Collect{Ballot: ballot}))
		is.NoErr(err) // the engine knows better than an older list that says rank 5
		is.True(reply.Accepted)
	})
	t.Run("an engine that tells no rank", func(t *testing.T) {
		is := is.New(t)
		r := New(namedGroup{"5", 6}, NewOrderAdapter(&rankOfGroup{}, logr.Discard()), logr.Discard())
		_, err := r.Order(t.Context(), orders.OrderToProto("gb", "5", group.Collect{Ballot: ballot}))
		is.NoErr(err)
	})
}
