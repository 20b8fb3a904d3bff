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
type door struct {
	ledger *core.Ledger[*job]
	queue  *client.Queue
	// answers holds idempotent requests by key, for callers that come back.
	answers map[string]*job
	waiting map[uint64]*job
	nextID  uint64
	leaving bool
	// prefixes are those of the prompts run last, newest last; noted counts all
	// that were ever added.
	prefixes []uint64
	noted    uint64

	// kept are the ended jobs whose answers the ledger holds, oldest first, and
	// keptBytes their size.
	kept      []*job
	keptBytes int

	resumeWindow time.Duration
	answerBuffer int
	answersTotal int
	start        func(*job)
}

// maxPrefixes bounds the prompt prefixes that an agent reports.
const maxPrefixes = 64

// digest identifies a request's content, so that a key used for another
// request is noticed.
func digest(r *peer.ExecuteRequest) uint64 {
	h := fnv.New64a()
	for _, part := range [][]byte{[]byte(r.Method), {0}, []byte(r.Path), {0}, r.Body} {
		// A hash never fails to write.
		_, _ = h.Write(part)
	}
	return h.Sum64()
}

// admit finds or begins the job for a request. A job whose request is another
// one is attached to.
func (d *door) admit(r *peer.ExecuteRequest, deadline, now time.Time) (*job, *peer.Refusal) {
	if r.Once {
		return d.admitOnce(r, deadline, now)
	}
	key := ledgerKey(r.Account, r.Key)
	if j := d.answers[key]; j != nil {
		return j, nil
	}
	if r.AttachOnly {
		return nil, d.refusal(answer.StreamLost, "the agent does not hold the stream")
	}
	if d.leaving {
		return nil, d.refusal(answer.Leaving, "the upstream is leaving")
	}
	j := d.newJob(r, deadline)
	d.answers[key] = j
	d.offer(j, now)
	return j, nil
}

// admitOnce lets the ledger decide on a request that runs at most once.
func (d *door) admitOnce(r *peer.ExecuteRequest, deadline, now time.Time) (*job, *peer.Refusal) {
	j := d.newJob(r, deadline)
	a := core.Attempt{Key: j.ledgerKey(), Term: r.Term, Epoch: r.Epoch, Digest: digest(r)}
	switch v := d.ledger.Begin(a, j, now).(type) {
	case core.Run[*job]:
		if d.leaving {
			d.ledger.MarkNotRun(j.ledgerKey(), r.Term)
			return nil, d.refusal(answer.Leaving, "the upstream is leaving")
		}
		d.offer(j, now)
		return j, nil
	case core.Attach[*job]:
		return v.Answer, nil
	case core.Refused[*job]:
		return nil, d.ledgerRefusal(v)
	}
	return nil, d.refusal(answer.Internal, "the ledger gave no verdict")
}

func (d *door) newJob(r *peer.ExecuteRequest, deadline time.Time) *job {
	d.nextID++
	return &job{id: d.nextID, request: r, deadline: deadline, buffer: upstream.NewBuffer(d.answerBuffer)}
}

func (d *door) refusal(k answer.Kind, detail string) *peer.Refusal {
	return &peer.Refusal{Kind: string(k), Detail: detail, Term: d.ledger.Term()}
}

// ledgerRefusal turns a refusal of the ledger into an answer to the entry.
func (d *door) ledgerRefusal(v core.Refused[*job]) *peer.Refusal {
	switch v.Reason {
	case core.SealedAttempt:
		r := d.refusal(answer.Sealed, "the attempt was refused before it arrived")
		r.Epoch = v.Epoch
		return r
	case core.TermHandedOver:
		r := d.refusal(answer.TermMoved, "the term was handed to "+v.Successor)
		r.Successor = v.Successor
		return r
	case core.LedgerFull:
		return d.refusal(answer.Undecided, "the ledger is full")
	case core.DigestDiffers:
		return d.refusal(answer.KeyReused, "the key belongs to another request")
	case core.TermUnknown:
		r := d.refusal(answer.OutcomeUnknown, "the term has ended")
		r.TermUnknown = true
		return r
	default:
		return d.refusal(answer.OutcomeUnknown, "the upstream broke off without an answer")
	}
}

// offer hands a new job to the queue.
func (d *door) offer(j *job, now time.Time) {
	d.waiting[j.id] = j
	r := j.request
	d.carryOut(d.queue.Offer(client.Request{ID: j.id, Account: r.Account, Weight: r.Weight, Priority: int(r.Priority)}, now))
}

// carryOut performs the queue's decisions.
func (d *door) carryOut(decisions []client.Decision) {
	for _, decision := range decisions {
		switch v := decision.(type) {
		case client.Start:
			j := d.waiting[v.ID]
			delete(d.waiting, v.ID)
			j.started = true
			d.start(j)
		case client.Refuse:
			d.refuseJob(d.waiting[v.ID], v)
		case client.Enqueued:
		}
	}
}

// refuseJob ends a job that was never given to the upstream.
func (d *door) refuseJob(j *job, v client.Refuse) {
	kind := answer.Overloaded
	if v.Expired {
		kind = answer.QueueTimeout
	}
	d.drop(j)
	j.buffer.End(upstream.Ending{Refusal: answer.Refuse(kind, "the upstream has no room").WithRetryAfter(v.RetryAfter)})
}

// drop forgets a job that did not run.
func (d *door) drop(j *job) {
	delete(d.waiting, j.id)
	if j.request.Once {
		d.ledger.MarkNotRun(j.ledgerKey(), j.request.Term)
	} else {
		d.forgetAnswer(j)
	}
}

func (d *door) forgetAnswer(j *job) {
	if d.answers[j.ledgerKey()] == j {
		delete(d.answers, j.ledgerKey())
	}
}

// finished records the end of a job that was started.
func (d *door) finished(j *job, mayHaveRun bool, took time.Duration, now time.Time) {
	j.ended = now
	complete := j.buffer.Ended().Complete
	switch {
	case !j.request.Once && complete:
		d.notePrefix(j.request.Prefix)
	case !j.request.Once:
		d.forgetAnswer(j)
	case complete:
		d.ledger.MarkDone(j.ledgerKey(), j.request.Term)
		d.keep(j)
	case mayHaveRun:
		d.ledger.MarkLost(j.ledgerKey(), j.request.Term)
	default:
		d.ledger.MarkNotRun(j.ledgerKey(), j.request.Term)
	}
	account := j.request.Account
	j.slim()
	d.carryOut(d.queue.Done(account, took, now))
}

// jobBytes is what an ended job takes beside its answer, about.
const jobBytes = 512

// slim forgets what of a request is not needed once it has ended.
func (j *job) slim() {
	r := j.request
	j.request = &peer.ExecuteRequest{RequestId: r.RequestId, Account: r.Account, Key: r.Key, Term: r.Term, Once: r.Once}
}

// keep bounds the answers that the ledger holds for retries. Of the oldest ones
// only the fact is kept that they ran.
func (d *door) keep(j *job) {
	d.kept = append(d.kept, j)
	d.keptBytes += j.buffer.Size() + jobBytes
	for d.keptBytes > d.answersTotal && len(d.kept) > 0 {
		d.keptBytes -= d.kept[0].buffer.Drop() + jobBytes
		d.kept[0] = nil
		d.kept = d.kept[1:]
	}
}

func (d *door) notePrefix(p uint64) {
	if p == 0 {
		return
	}
	for i, held := range d.prefixes {
		if held == p {
			d.prefixes = append(d.prefixes[:i], d.prefixes[i+1:]...)
			break
		}
	}
	d.prefixes = append(d.prefixes, p)
	d.noted++
	if len(d.prefixes) > maxPrefixes {
		d.prefixes = d.prefixes[1:]
	}
}

// detached is called when a job's last reader has gone before its end.
func (d *door) detached(j *job, now time.Time) {
	switch {
	case j.buffer.Readers() > 0 || j.buffer.Ended() != nil:
	case !j.started && d.queue.Cancel(j.id):
		d.drop(j)
		j.buffer.End(upstream.Ending{Refusal: answer.Refuse(answer.QueueTimeout, "the caller went away")})
	case !j.request.Once:
		j.ended = now // the resume window begins
	}
}

// tick lets time pass: the ledger's generations, expired waits, and answers
// whose resume window is over.
func (d *door) tick(now time.Time) {
	d.ledger.Tick(now)
	d.carryOut(d.queue.Expire(now))
	for key, j := range d.answers {
		if j.ended.IsZero() || now.Sub(j.ended) < d.resumeWindow {
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
		delete(d.answers, key)
	}
}

// prefixesSince returns the prefixes added after the first ones noted, and
// whether they are all that are held.
func (d *door) prefixesSince(noted uint64) (prefixes []uint64, anew bool) {
	added := d.noted - noted
	if added >= uint64(len(d.prefixes)) {
		return slices.Clone(d.prefixes), true
	}
	return slices.Clone(d.prefixes[len(d.prefixes)-int(added):]), false
}

// report returns the agent's load.
func (d *door) report(slots int) *peer.LoadReport {
	return &peer.LoadReport{
		Term:    d.ledger.Term(),
		Running: uint32(d.queue.Running()),
		Queued:  uint32(d.queue.Waiting()),
		Slots:   uint32(slots),
		Leaving: d.leaving,
		Adopted: d.ledger.Adopted(),
	}
}
