package rank

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"

	"bramleydeal/internal/core/group"
	"bramleydeal/internal/wire/orders"
	"bramleydeal/internal/wire/peer"
	"github.com/go-logr/logr"
	"github.com/matryer/is"
)

// stagingEngine is an engine that loses the replies to the first Prepare orders and
// fetches the experts of a map during three reports.
type stagingEngine struct {
	OrderEngine
	lostReplies int
	version     uint64
	experts     [][][]int
	reports     int
}

func (e *stagingEngine) Report(context.Context) (Report, error) {
	r := Report{Epoch: 1, NextStep: 5}
	if e.version != 0 {
		if e.reports++; e.reports > 3 {
			r.Prepared = e.version
		}
	}
	return r, nil
}

func (e *stagingEngine) ReportAnew(ctx context.Context) (Report, error) { return e.Report(ctx) }

func (e *stagingEngine) Prepare(_ context.Context, _ Fence, version uint64, experts [][][]int) (bool, error) {
	if version <= e.version {
		return false, nil
	}
	e.version, e.experts, e.reports = version, experts, 0
	if e.lostReplies > 0 {
		e.lostReplies--
		return false, errors.New("no reply")
	}
	return true, nil
}

// TestLostPrepareReplyDoesNotFailStaging guards against dropping a map at all ranks since
// one engine, which fetches its experts, refuses the repeated order.
func TestLostPrepareReplyDoesNotFailStaging(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := &stagingEngine{lostReplies: 1}
		content, err := orders.EncodeMap(group.Map{Ranks: 1, Slots: 1, Layers: [][]int{{0}}}, nil)
		is.NoErr(err)
		is.NoErr(NewOrderAdapter(e, logr.Discard()).Stage(t.Context(), 3, content))
		is.Equal(e.version, uint64(3))
	})
}

func TestMapIsStagedAsTheChangesOfTheLastOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := &stagingEngine{}
		r := New(namedGroup{}, NewOrderAdapter(e, logr.Discard()), logr.Discard())
		first := group.Map{Version: 3, Ranks: 2, Slots: 1, Layers: [][]int{{0, 1}}}
		second := group.Map{Version: 4, Ranks: 2, Slots: 1, Layers: [][]int{{0, 0}}}
		stage := func(m group.Map, base *group.Map) *peer.GrantReply {
			content, err := orders.EncodeMap(m, base)
			is.NoErr(err)
			reply, err := r.Order(t.Context(), &peer.GrantOrder{Kind: peer.GrantOrder_STAGE, Map: m.Version, Content: content})
			is.NoErr(err)
			return reply
		}
		is.True(stage(second, &first).UnknownBase) // an agent that has just started
		is.True(stage(first, nil).Accepted)
		is.True(stage(second, &first).Accepted)
		is.Equal(e.experts, [][][]int{{{0}, {0}}})
	})
}
