// Package entry implements the agent's gRPC service for entries. It is the gateway to
// the agent's upstream: every request passes through it. It holds the ledger (the
// deduplication table of idempotency keys), the queue and the buffered responses.
// Decisions on requests are made in core/upstream and core/client.
//
// An at-most-once request is one that must not run twice under its key. The key is the
// caller's idempotency key, or one that the entry chose for a non-idempotent request
// without it. A term names one generation of an agent's ledger. Each key is sent under a
// term, and the ledger refuses the terms that it does not hold, so that dropping a
// generation never lets a key run again.
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

// job is a request that the agent queues, runs or has run, with its response.
type job struct {
	id       uint64
	request  *peer.ExecuteRequest
	response *upstream.Buffer
	deadline time.Time
	started  bool
	// cancel cancels a running job; nil until the job is started.
	cancel context.CancelFunc
	// ended is the time at which the job ended or its last reader left. The resume
	// window starts then. It is zero until then, and again after the window if the job
	// still runs and has readers.
	ended time.Time
}

// ledgerKey returns the key of a request in the ledger, which is unique over all client
// accounts.
func ledgerKey(account, key string) string { return account + "/" + key }

// ledgerKey returns the job's key in the ledger.
func (j *job) ledgerKey() string { return ledgerKey(j.request.Account, j.request.Key) }

// gateway is the state of the agent's requests. Only the server's event loop accesses
// it.
type gateway struct {
	ledger *core.Ledger[*job]
	queue  *client.Queue
	// resumable holds the idempotent jobs by ledger key, for callers that resume a
	// stream.
	resumable map[string]*job
	queued    map[uint64]*job
	nextID    uint64
	draining  bool
	// prefixes are the hashes of the prompt prefixes that ran most recently, newest
	// last. prefixesAdded counts all additions since the start.
	prefixes      []uint64
	prefixesAdded uint64

	// retained are the ended at-most-once jobs whose responses are kept for retries,
	// oldest first. retainedBytes is their size, limited to maxRetainedBytes.
	retained      []*job
	retainedBytes int
	// ended are the ended jobs of resumable, oldest first, as they were when they ended. endedBytes is
	// the size of their responses, limited to maxEndedBytes but for those that have readers.
	ended      []endedJob
	endedBytes int

	// resumeWindow is how long an idempotent job is kept without readers.
	resumeWindow time.Duration
	// memory is what the responses share.
	memory           upstream.Memory
	maxEndedBytes    int
	maxBufferBytes   int
	maxRetainedBytes int
	// start runs a job at the upstream in another goroutine.
	start func(*job)
}

// maxPrefixes is the number of prompt prefixes that an agent reports at most.
const maxPrefixes = 64

// requestDigest returns a hash of a request's method, path and body. It detects a key
// that is reused for another request.
func requestDigest(r *peer.ExecuteRequest) uint64 {
	h := fnv.New64a()
	for _, part := range [][]byte{[]byte(r.Method), {0}, []byte(r.Path), {0}, r.Body} {
		// A hash never fails to write.
		_, _ = h.Write(part)
	}
	return h.Sum64()
}

// admit returns the job for a request, or the refusal of the request. The job is a new
// one, or an earlier one of the same key, whose request is then not r.
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
	if g.draining {
		return nil, g.refusal(answer.Leaving, "the upstream is leaving")
	}
	j := g.newJob(r, deadline)
	g.resumable[key] = j
	g.enqueue(j, now)
	return j, nil
}

// admitAtMostOnce is admit for an at-most-once request, on which the ledger decides.
func (g *gateway) admitAtMostOnce(r *peer.ExecuteRequest, deadline, now time.Time) (*job, *peer.Refusal) {
	j := g.newJob(r, deadline)
	a := core.Attempt{Key: j.ledgerKey(), Term: r.Term, Epoch: r.Epoch, Digest: requestDigest(r)}
	switch v := g.ledger.Begin(a, j, now).(type) {
	case core.Run[*job]:
		if g.draining {
			g.ledger.MarkNotRun(j.ledgerKey(), r.Term)
			return nil, g.refusal(answer.Leaving, "the upstream is leaving")
		}
		g.enqueue(j, now)
		return j, nil
	case core.Attach[*job]:
		return v.Response, nil
	case core.Refused[*job]:
		return nil, g.ledgerRefusal(v)
	}
	return nil, g.refusal(answer.Internal, "the ledger gave no verdict")
}

// newJob returns a job for a request. It is neither queued nor in the ledger.
func (g *gateway) newJob(r *peer.ExecuteRequest, deadline time.Time) *job {
	g.nextID++
	return &job{id: g.nextID, request: r, deadline: deadline, response: upstream.NewBuffer(g.maxBufferBytes, upstream.WithMemory(g.memory))}
}

// refusal returns a refusal that names the ledger's current term.
func (g *gateway) refusal(k answer.Kind, detail string) *peer.Refusal {
	return &peer.Refusal{Kind: string(k), Detail: detail, Term: g.ledger.Term()}
}

// ledgerRefusal converts a refusal by the ledger into the protocol's refusal.
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

// enqueue offers a new job to the queue, which may start or refuse it at once.
func (g *gateway) enqueue(j *job, now time.Time) {
	g.queued[j.id] = j
	r := j.request
	g.applyDecisions(g.queue.Offer(client.Request{ID: j.id, Account: r.Account, Weight: r.Weight, Priority: int(r.Priority)}, now))
}

// applyDecisions starts and refuses jobs as the queue decided.
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

// refuseJob ends a job that the queue refused. The job was not sent to the upstream.
func (g *gateway) refuseJob(j *job, v client.Refuse) {
	kind := answer.Overloaded
	if v.Expired {
		kind = answer.QueueTimeout
	}
	g.dropUnstarted(j)
	j.response.End(upstream.Ending{Refusal: answer.Refuse(kind, "the upstream has no room").WithRetryAfter(v.RetryAfter)})
}

// dropUnstarted removes a job that was not sent to the upstream. The ledger seals the key
// of an at-most-once request, so that a late copy of the request does not run either.
func (g *gateway) dropUnstarted(j *job) {
	delete(g.queued, j.id)
	if j.request.Once {
		g.ledger.MarkNotRun(j.ledgerKey(), j.request.Term)
	} else {
		g.removeResumable(j)
	}
}

// removeResumable removes an idempotent job, unless a newer one has its key.
func (g *gateway) removeResumable(j *job) {
	if g.resumable[j.ledgerKey()] == j {
		delete(g.resumable, j.ledgerKey())
	}
	if j.response.Readers() == 0 {
		j.response.DropContent()
	}
}

// finish records the end of a started job in the ledger and the queue. took is the
// time that the job ran.
func (g *gateway) finish(j *job, mayHaveRun bool, took time.Duration, now time.Time) {
	j.ended = now
	complete := j.response.Ended().Complete
	switch {
	case !j.request.Once && complete:
		g.addPrefix(j.request.Prefix)
		g.retainResumable(j)
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

// jobOverheadBytes is the approximate memory that an ended job takes in addition to its
// response.
const jobOverheadBytes = 512

// releaseRequest frees the memory of the request's headers and body, which are not
// needed after the job has ended.
func (j *job) releaseRequest() {
	r := j.request
	j.request = &peer.ExecuteRequest{RequestId: r.RequestId, Account: r.Account, Key: r.Key, Term: r.Term, Once: r.Once}
}

// retain keeps the response of an ended at-most-once job for retries. When the retained
// responses together exceed maxRetainedBytes, the content of the oldest ones is dropped;
// the ledger still records that these jobs ran.
func (g *gateway) retain(j *job) {
	g.retained = append(g.retained, j)
	g.retainedBytes += j.response.Size() + jobOverheadBytes
	for g.retainedBytes > g.maxRetainedBytes && len(g.retained) > 0 {
		g.retainedBytes -= g.retained[0].response.DropContent() + jobOverheadBytes
		g.retained[0] = nil
		g.retained = g.retained[1:]
	}
}

// endedJob is an ended job of gateway.resumable and the memory that it takes.
type endedJob struct {
	*job
	bytes int
}

// retainResumable keeps the response of an ended idempotent job for its resume window. When these
// responses together exceed maxEndedBytes, the oldest ones without readers are dropped; their callers
// get the request run again or are told that the stream is lost.
func (g *gateway) retainResumable(j *job) {
	g.ended = append(g.ended, endedJob{j, j.response.Size() + jobOverheadBytes})
	g.endedBytes += g.ended[len(g.ended)-1].bytes
	g.ended = slices.DeleteFunc(g.ended, func(e endedJob) bool {
		known := g.resumable[e.ledgerKey()] == e.job
		if known && (g.endedBytes <= g.maxEndedBytes || e.response.Readers() > 0) {
			return false
		}
		g.endedBytes -= e.bytes
		g.removeResumable(e.job)
		return true
	})
}

// addPrefix records a prompt prefix as the most recent one. 0 means that the request has
// none.
func (g *gateway) addPrefix(p uint64) {
	if p == 0 {
		return
	}
	for i, prefix := range g.prefixes {
		if prefix == p {
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

// lastReaderLeft is called when the last reader of a job has left before the job's end.
// A queued job is removed. An idempotent running job keeps running for the resume
// window, and an at-most-once job until its end.
func (g *gateway) lastReaderLeft(j *job, now time.Time) {
	switch {
	case j.response.Readers() > 0 || j.response.Ended() != nil:
	case !j.started && g.queue.Cancel(j.id):
		g.dropUnstarted(j)
		j.response.End(upstream.Ending{Refusal: answer.Refuse(answer.QueueTimeout, "the caller went away")})
	case !j.request.Once:
		j.ended = now // the resume window starts
	}
}

// tick rotates the ledger's generations, refuses jobs that have been queued for too
// long, and removes idempotent jobs after their resume window. A job that still runs
// then is cancelled.
func (g *gateway) tick(now time.Time) {
	g.ledger.Tick(now)
	g.applyDecisions(g.queue.Expire(now))
	for _, j := range g.resumable {
		if j.ended.IsZero() || now.Sub(j.ended) < g.resumeWindow {
			continue
		}
		if j.response.Readers() > 0 {
			if j.response.Ended() == nil {
				j.ended = time.Time{}
			}
			continue
		}
		if j.response.Ended() == nil {
			j.cancel()
			continue
		}
		g.removeResumable(j)
	}
}

// prefixesSince returns the prefixes that were added since prefixesAdded had the given
// value, and whether they are all that the gateway holds.
func (g *gateway) prefixesSince(added uint64) (prefixes []uint64, complete bool) {
	recent := g.prefixesAdded - added
	if recent >= uint64(len(g.prefixes)) {
		return slices.Clone(g.prefixes), true
	}
	return slices.Clone(g.prefixes[len(g.prefixes)-int(recent):]), false
}

// report returns the agent's load for the given number of upstream slots.
func (g *gateway) report(slots int) *peer.LoadReport {
	return &peer.LoadReport{
		Term:    g.ledger.Term(),
		Running: uint32(g.queue.Running()),
		Queued:  uint32(g.queue.Waiting()),
		Slots:   uint32(slots),
		Leaving: g.draining,
		Adopted: g.ledger.Adopted(),
	}
}
