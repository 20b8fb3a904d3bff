// Package entry serves the entries: it is the agent's door, the only way to
// its upstream. It owns the ledger, the queue and the answers; what becomes of a
// request is decided in core/upstream and core/client.
package entry

import (
	"context"
	"hash/fnv"
	"slices"
	"time"

	"bramleydeal/internal/agent/upstream"
	"bramleydeal/internal/core/client"
	core "bramleydeal/internal/core/upstream"
	"bramleydeal/internal/wire/peer"
	"bramleydeal/internal/world/answer"
)

// job is one request that the agent holds.
type job struct {
	id       uint64
	request  *peer.ExecuteRequest
	buffer   *upstream.Buffer
	deadline time.Time
	started  bool
	// cancel ends a running job; nil until it runs.
	cancel context.CancelFunc
	ended  time.Time
}

// ledgerKey scopes a key to its client account.
func ledgerKey(account, key string) string { return account + "/" + key }

func (j *job) ledgerKey() string { return ledgerKey(j.request.Account, j.request.Key) }

// door is the state that the door's loop owns.
type gateway struct {
	ledger *core.Ledger[*job]
	queue  *client.Queue
	// answers holds idempotent requests by key, for callers that come back.
	resumable map[string]*job
	queued    map[uint64]*job
	nextID    uint64
	leaving   bool
	// prefixes are those of the prompts run last, newest last; noted counts all
	// that were ever added.
	prefixes      []uint64
	prefixesAdded uint64

	// kept are the ended jobs whose answers the ledger holds, oldest first, and
	// keptBytes their size.
	retained      []*job
	retainedBytes int

	resumeWindow     time.Duration
	bufferLimit      int
	maxRetainedBytes int
	start            func(*job)
}

// maxPrefixes bounds the prompt prefixes that an agent reports.
const maxPrefixes = 64

// digest identifies a request's content, so that a key used for another
// request is noticed.
func requestDigest(r *peer.ExecuteRequest) uint64 {
	h := fnv.New64a()
	for _, part := range [][]byte{[]byte(r.Method), {0}, []byte(r.Path), {0}, r.Body} {
		// A hash never fails to write.
		_, _ = h.Write(part)
	}
	return h.Sum64()
}

// admit finds or begins the job for a request. A job whose request is another
// one is attached to.
func (g *gateway) admit(r *peer.ExecuteRequest, deadline, now time.Time) (*job, *peer.Refusal) {
	if r.Once {
		return g.admitAtMostOnce(r, deadline, now)
	}
	key := ledgerKey(r.Account, r.Key)
	if j := g.resumable[key]; j != nil {
		return j, nil
	}
	if r.AttachOnly {
		return nil, g.refusal(answer.StreamLost, "the agent does not hold the stream")
	}
	if g.leaving {
		return nil, g.refusal(answer.Leaving, "the upstream is leaving")
	}
	j := g.newJob(r, deadline)
	g.resumable[key] = j
	g.enqueue(j, now)
	return j, nil
}

// admitOnce lets the ledger decide on a request that runs at most once.
func (g *gateway) admitAtMostOnce(r *peer.ExecuteRequest, deadline, now time.Time) (*job, *peer.Refusal) {
	j := g.newJob(r, deadline)
	a := core.Attempt{Key: j.ledgerKey(), Term: r.Term, Epoch: r.Epoch, Digest: requestDigest(r)}
	switch v := g.ledger.Begin(a, j, now).(type) {
	case core.Run[*job]:
		if g.leaving {
			g.ledger.MarkNotRun(j.ledgerKey(), r.Term)
			return nil, g.refusal(answer.Leaving, "the upstream is leaving")
		}
		g.enqueue(j, now)
		return j, nil
	case core.Attach[*job]:
		return v.Answer, nil
	case core.Refused[*job]:
		return nil, g.ledgerRefusal(v)
	}
	return nil, g.refusal(answer.Internal, "the ledger gave no verdict")
}

func (g *gateway) newJob(r *peer.ExecuteRequest, deadline time.Time) *job {
	g.nextID++
	return &job{id: g.nextID, request: r, deadline: deadline, buffer: upstream.NewBuffer(g.bufferLimit)}
}

func (g *gateway) refusal(k answer.Kind, detail string) *peer.Refusal {
	return &peer.Refusal{Kind: string(k), Detail: detail, Term: g.ledger.Term()}
}

// ledgerRefusal turns a refusal of the ledger into an answer to the entry.
func (g *gateway) ledgerRefusal(v core.Refused[*job]) *peer.Refusal {
	switch v.Reason {
	case core.SealedAttempt:
		r := g.refusal(answer.Sealed, "the attempt was refused before it arrived")
		r.Epoch = v.Epoch
		return r
	case core.TermHandedOver:
		r := g.refusal(answer.TermMoved, "the term was handed to "+v.Successor)
		r.Successor = v.Successor
		return r
	case core.LedgerFull:
		return g.refusal(answer.Undecided, "the ledger is full")
	case core.DigestDiffers:
		return g.refusal(answer.KeyReused, "the key belongs to another request")
	case core.TermUnknown:
		r := g.refusal(answer.OutcomeUnknown, "the term has ended")
		r.TermUnknown = true
		return r
	default:
		return g.refusal(answer.OutcomeUnknown, "the upstream broke off without an answer")
	}
}

// offer hands a new job to the queue.
func (g *gateway) enqueue(j *job, now time.Time) {
	g.queued[j.id] = j
	r := j.request
	g.applyDecisions(g.queue.Offer(client.Request{ID: j.id, Account: r.Account, Weight: r.Weight, Priority: int(r.Priority)}, now))
}

// carryOut performs the queue's decisions.
func (g *gateway) applyDecisions(decisions []client.Decision) {
	for _, decision := range decisions {
		switch v := decision.(type) {
		case client.Start:
			j := g.queued[v.ID]
			delete(g.queued, v.ID)
			j.started = true
			g.start(j)
		case client.Refuse:
			g.refuseJob(g.queued[v.ID], v)
		case client.Enqueued:
		}
	}
}

// refuseJob ends a job that was never given to the upstream.
func (g *gateway) refuseJob(j *job, v client.Refuse) {
	kind := answer.Overloaded
	if v.Expired {
		kind = answer.QueueTimeout
	}
	g.dropUnstarted(j)
	j.buffer.End(upstream.Ending{Refusal: answer.Refuse(kind, "the upstream has no room").WithRetryAfter(v.RetryAfter)})
}

// drop forgets a job that did not run.
func (g *gateway) dropUnstarted(j *job) {
	delete(g.queued, j.id)
	if j.request.Once {
		g.ledger.MarkNotRun(j.ledgerKey(), j.request.Term)
	} else {
		g.removeResumable(j)
	}
}

func (g *gateway) removeResumable(j *job) {
	if g.resumable[j.ledgerKey()] == j {
		delete(g.resumable, j.ledgerKey())
	}
}

// finished records the end of a job that was started.
func (g *gateway) finish(j *job, mayHaveRun bool, took time.Duration, now time.Time) {
	j.ended = now
	complete := j.buffer.Ended().Complete
	switch {
	case !j.request.Once && complete:
		g.addPrefix(j.request.Prefix)
	case !j.request.Once:
		g.removeResumable(j)
	case complete:
		g.ledger.MarkDone(j.ledgerKey(), j.request.Term)
		g.retain(j)
	case mayHaveRun:
		g.ledger.MarkLost(j.ledgerKey(), j.request.Term)
	default:
		g.ledger.MarkNotRun(j.ledgerKey(), j.request.Term)
	}
	account := j.request.Account
	j.releaseRequest()
	g.applyDecisions(g.queue.Done(account, took, now))
}

// jobBytes is what an ended job takes beside its answer, about.
const jobOverheadBytes = 512

// slim forgets what of a request is not needed once it has ended.
func (j *job) releaseRequest() {
	r := j.request
	j.request = &peer.ExecuteRequest{RequestId: r.RequestId, Account: r.Account, Key: r.Key, Term: r.Term, Once: r.Once}
}

// keep bounds the answers that the ledger holds for retries. Of the oldest ones
// only the fact is kept that they ran.
func (g *gateway) retain(j *job) {
	g.retained = append(g.retained, j)
	g.retainedBytes += j.buffer.Size() + jobOverheadBytes
	for g.retainedBytes > g.maxRetainedBytes && len(g.retained) > 0 {
		g.retainedBytes -= g.retained[0].buffer.DropContent() + jobOverheadBytes
		g.retained[0] = nil
		g.retained = g.retained[1:]
	}
}

func (g *gateway) addPrefix(p uint64) {
	if p == 0 {
		return
	}
	for i, held := range g.prefixes {
		if held == p {
			g.prefixes = append(g.prefixes[:i], g.prefixes[i+1:]...)
			break
		}
	}
	g.prefixes = append(g.prefixes, p)
	g.prefixesAdded++
	if len(g.prefixes) > maxPrefixes {
		g.prefixes = g.prefixes[1:]
	}
}

// detached is called when a job's last reader has gone before its end.
func (g *gateway) lastReaderLeft(j *job, now time.Time) {
	switch {
	case j.buffer.Readers() > 0 || j.buffer.Ended() != nil:
	case !j.started && g.queue.Cancel(j.id):
		g.dropUnstarted(j)
		j.buffer.End(upstream.Ending{Refusal: answer.Refuse(answer.QueueTimeout, "the caller went away")})
	case !j.request.Once:
		j.ended = now // the resume window begins
	}
}

// tick lets time pass: the ledger's generations, expired waits, and answers
// whose resume window is over.
func (g *gateway) tick(now time.Time) {
	g.ledger.Tick(now)
	g.applyDecisions(g.queue.Expire(now))
	for key, j := range g.resumable {
		if j.ended.IsZero() || now.Sub(j.ended) < g.resumeWindow {
			continue
		}
		if j.buffer.Readers() > 0 {
			if j.buffer.Ended() == nil {
				j.ended = time.Time{}
			}
			continue
		}
		if j.buffer.Ended() == nil {
			j.cancel()
			continue
		}
		delete(g.resumable, key)
	}
}

// prefixesSince returns the prefixes added after the first ones noted, and
// whether they are all that are held.
func (g *gateway) prefixesSince(noted uint64) (prefixes []uint64, anew bool) {
	added := g.prefixesAdded - noted
	if added >= uint64(len(g.prefixes)) {
		return slices.Clone(g.prefixes), true
	}
	return slices.Clone(g.prefixes[len(g.prefixes)-int(added):]), false
}

// report returns the agent's load.
func (g *gateway) report(slots int) *peer.LoadReport {
	return &peer.LoadReport{
		Term:    g.ledger.Term(),
		Running: uint32(g.queue.Running()),
		Queued:  uint32(g.queue.Waiting()),
		Slots:   uint32(slots),
		Leaving: g.leaving,
		Adopted: g.ledger.Adopted(),
	}
}
