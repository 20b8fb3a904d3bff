package direct

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"bramleydeal/internal/core/group"
	"bramleydeal/internal/process/clock"
	"bramleydeal/internal/process/task"
	"bramleydeal/internal/wire/orders"
	"bramleydeal/internal/wire/peer"
)

// stageRetryInterval is the time after which a map is sent again to ranks that gave no
// reply.
const stageRetryInterval = 100 * time.Millisecond

// errSuperseded means that a rank refused to stage a map because it has promised to
// follow a higher ballot than that of the order.
var errSuperseded = errors.New("a rank refused the map: it has promised to follow a higher ballot")

// startStaging starts to stage a map at all ranks. base is the map in use. The caller holds
// g.mu.
func (g *leadership) startStaging(ctx context.Context, base, m group.Map, moves int, b group.Ballot) {
	ctx, cancel := context.WithTimeout(ctx, stageCallTimeout)
	g.cancelStaging, g.stagingBase, g.stagingMap = cancel, base, m
	go task.Once(g.candidate.log, "stage", func() {
		defer g.endStaging(cancel)
		g.stage(ctx, base, m, moves, b)
	})
}

// endStaging records that no map is being staged any more.
func (g *leadership) endStaging(cancel context.CancelFunc) {
	cancel()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cancelStaging = nil
}

// stage stages a map at all ranks and records it for the next proposal when all
// ranks have it.
func (g *leadership) stage(ctx context.Context, base, m group.Map, moves int, b group.Ballot) {
	started := time.Now()
	if err := g.stageAtAllRanks(ctx, base, m, b); err != nil {
		g.candidate.log.Info("map not staged at all ranks; it is dropped", "map", m.Version, "reason", err.Error())
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stagedVersion, g.lastStaged, g.previousStaged = m.Version, m, g.lastStaged
	g.candidate.metrics.expertsMoved.Add(uint64(moves))
	g.candidate.log.Info("map staged", "map", m.Version, "took-ms", time.Since(started).Milliseconds())
}

// stageAtAllRanks sends a map to all ranks until each of them has it. Ranks that do not
// know the map in use get the whole map instead of the changes.
func (g *leadership) stageAtAllRanks(ctx context.Context, base, m group.Map, b group.Ballot) error {
	s := &staging{leadership: g, version: m.Version, ballot: b}
	var err error
	if s.whole, err = orders.EncodeMap(m, nil); err != nil {
		return err
	}
	s.content = s.whole
	if base.Version != 0 {
		if s.content, err = orders.EncodeMap(m, &base); err != nil {
			return err
		}
	}
	missing, wholeMissing := make([]string, 0, g.shape.Ranks), []string{}
	for i := range g.shape.Ranks {
		missing = append(missing, strconv.Itoa(i))
	}
	for {
		missing, wholeMissing, err = s.send(ctx, missing, wholeMissing)
		switch {
		case errors.Is(err, errSuperseded) || len(missing)+len(wholeMissing) == 0:
			return err
		case err == nil:
			continue // only content that builds on an unknown map was refused
		}
		clock.Sleep(ctx, stageRetryInterval)
		if ctx.Err() != nil {
			return err
		}
	}
}

// staging is the staging of one map.
type staging struct {
	*leadership
	version uint64
	ballot  group.Ballot
	// content is what the ranks get at first, whole the content without a base.
	content, whole []byte
}

// send sends the map to ranks, the whole map to those in needWhole. It returns the ranks
// that did not reply, those that need the whole map, and why there was no reply.
func (s *staging) send(ctx context.Context, ranks, needWhole []string) (missing, wholeMissing []string, err error) {
	var batch []dispatch
	isWhole := map[string]bool{}
	for _, name := range needWhole {
		isWhole[name] = true
		batch = append(batch, dispatch{rank: name, message: s.order(name, s.whole)})
	}
	for _, name := range ranks {
		batch = append(batch, dispatch{rank: name, message: s.order(name, s.content)})
	}
	var mu sync.Mutex
	s.candidate.courier.send(ctx, batch, replyHandler{
		sample: func(group.Sample) {}, // a reply to STAGE has none
		reply: func(d dispatch, m *peer.GrantReply, callErr error) {
			mu.Lock()
			defer mu.Unlock()
			switch {
			case callErr == nil && m.Accepted:
			case callErr == nil && m.UnknownBase:
				wholeMissing = append(wholeMissing, d.rank)
			case callErr == nil:
				err = errSuperseded
			case isWhole[d.rank]:
				wholeMissing, err = append(wholeMissing, d.rank), errors.Join(err, callErr)
			default:
				missing, err = append(missing, d.rank), errors.Join(err, callErr)
			}
		},
	})
	return missing, wholeMissing, err
}

// order returns the order that stages the map at a rank.
func (s *staging) order(rank string, content []byte) *peer.GrantOrder {
	return &peer.GrantOrder{
		Group: s.candidate.roster.Name(), Rank: rank, Kind: peer.GrantOrder_STAGE, Map: s.version, Content: content, Ballot: orders.BallotToProto(s.ballot),
	}
}
