package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"bramleydeal/internal/agent/upstream"
	"bramleydeal/internal/core/client"
	core "bramleydeal/internal/core/upstream"
	"bramleydeal/internal/process/eventloop"
	"bramleydeal/internal/settings/reference"
	"bramleydeal/internal/settings/snapshot"
	"bramleydeal/internal/settings/tree"
	"bramleydeal/internal/wire/dial"
	"bramleydeal/internal/wire/inbound"
	"bramleydeal/internal/wire/peer"
	"bramleydeal/internal/world/answer"
	"github.com/go-logr/logr"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"
)

// Sizes and intervals of the server.
const (
	eventQueueSize = 1024
	tickInterval   = 100 * time.Millisecond
	// minReportInterval and maxReportInterval bound the interval of load reports that an
	// entry may request.
	maxReportInterval = 10 * time.Second
	minReportInterval = 50 * time.Millisecond
)

// OrderHandler handles the orders of a group's leader to the agent's rank.
type OrderHandler interface {
	Order(context.Context, *peer.GrantOrder) (*peer.GrantReply, error)
}

// Server implements peer.AgentServer: it runs entries' requests at the agent's upstream,
// reports the agent's load and hands ledger terms over.
type Server struct {
	peer.UnimplementedAgentServer

	self         string
	target       string
	scope        tree.Scope
	current      func() *snapshot.Snapshot
	client       *upstream.Client
	pool         *dial.Pool
	budget       *inbound.Budget
	orderHandler OrderHandler
	log          logr.Logger
	events       *eventloop.Loop[*gateway]
	slots        atomic.Int64
	// latestLoad is the load after the last event that changed it.
	latestLoad atomic.Pointer[peer.LoadReport]
	// lifetime bounds the running jobs.
	lifetime context.Context

	// mu guards reportNow.
	mu sync.Mutex
	// reportNow is closed and replaced to make all streams send a load report.
	reportNow   chan struct{}
	stopReports chan struct{}
	stats       Stats
}

// Stats counts requests (received by Execute, attached to an earlier job, refused, started
// at the upstream, interrupted) and ledger terms (handed over, adopted).
type Stats struct {
	Executed, Attached, Refused, Started, Interrupted, HandedOver, Adopted atomic.Uint64
}

// Config holds the parameters of a Server.
type Config struct {
	// Self is the agent's instance name.
	Self string
	// Incarnation names this run of the process and must be unique over all runs.
	Incarnation string
	// Target is the service or model group to which the upstream belongs.
	Target string
	// Scope is the settings scope of the upstream.
	Scope tree.Scope
	// Current returns the settings in effect.
	Current func() *snapshot.Snapshot
	Client  *upstream.Client
	Pool    *dial.Pool
	// Budget counts the requests that entries make the agent hold, nil if nothing does.
	Budget *inbound.Budget
	// OrderHandler is nil for an agent whose upstream is not a rank of a group.
	OrderHandler OrderHandler
	Log          logr.Logger
}

// NewServer returns a server with an empty ledger. ctx bounds the lifetime of its running
// requests.
func NewServer(ctx context.Context, c Config) *Server {
	s := &Server{
		self: c.Self, target: c.Target, scope: c.Scope, current: c.Current, client: c.Client,
		pool: c.Pool, budget: c.Budget, orderHandler: c.OrderHandler, log: c.Log, lifetime: ctx, reportNow: make(chan struct{}), stopReports: make(chan struct{}),
	}
	t := c.Current().Tree
	g := &gateway{
		ledger: core.NewLedger[*job](c.Incarnation, tree.Get(t, s.scope, reference.LedgerCapacity),
			tree.Get(t, s.scope, reference.LedgerRetention), time.Now()),
		queue:     client.NewQueue(client.QueueConfig{}),
		resumable: map[string]*job{},
		queued:    map[uint64]*job{},
		start:     s.startJob,
		memory:    s.budget,
	}
	s.configure(g, c.Current())
	s.publishLoad(g)
	s.events = eventloop.NewLoop(g, eventQueueSize)
	return s
}

// Run runs the event loop until ctx is done.
func (s *Server) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { s.events.Run(ctx) })
	group.Go(func() { s.runTicks(ctx) })
	group.Wait()
}

// runTicks sends a tick to the event loop at intervals until ctx is done.
func (s *Server) runTicks(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.events.Send(func(g *gateway) {
				g.tick(time.Now())
				s.publishLoad(g)
			})
		case <-ctx.Done():
			return
		}
	}
}

// SettingsChanged applies a new settings snapshot.
func (s *Server) SettingsChanged(settings *snapshot.Snapshot) {
	s.events.Send(func(g *gateway) { s.configure(g, settings) })
}

// configure applies a settings snapshot to the gateway. It runs on the event loop.
func (s *Server) configure(g *gateway, settings *snapshot.Snapshot) {
	slots := tree.Get(settings.Tree, s.scope, reference.UpstreamSlots)
	s.slots.Store(int64(slots))
	g.queue.Configure(client.QueueConfig{
		Slots:     slots,
		MaxLength: tree.Get(settings.Tree, s.scope, reference.QueueLength),
		MaxWait:   tree.Get(settings.Tree, s.scope, reference.QueueWait),
	})
	g.ledger.Configure(tree.Get(settings.Tree, s.scope, reference.LedgerCapacity), tree.Get(settings.Tree, s.scope, reference.LedgerRetention))
	g.resumeWindow = tree.Get(settings.Tree, s.scope, reference.ResumeWindow)
	g.maxRetainedBytes = tree.Get(settings.Tree, s.scope, reference.AnswersTotal)
	g.maxEndedBytes = min(g.maxRetainedBytes, int(s.budget.Limit()/endedShare))
	g.maxBufferBytes = tree.Get(settings.Tree, s.scope, reference.AnswerBuffer)
}

// Execute implements peer.AgentServer. It runs the request, or attaches to the job of an
// earlier request with the same key, and streams the response.
func (s *Server) Execute(r *peer.ExecuteRequest, stream peer.Agent_ExecuteServer) error {
	ctx := stream.Context()
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(tree.Get(s.current().Tree, s.scope, reference.RequestDeadline))
	}
	s.stats.Executed.Add(1)
	release, ok := s.budget.ReserveForCall(requestCost(r))
	if !ok {
		return s.refuse(refuseMemory(r), stream)
	}
	defer release()
	var j *job
	var refusal *peer.Refusal
	attached := false
	err := s.events.Do(ctx, func(g *gateway) {
		j, refusal = g.admit(r, deadline, time.Now())
		attached = j != nil && j.request != r
		s.publishLoad(g)
	})
	if err != nil {
		return status.Error(codes.Unavailable, err.Error())
	}
	if refusal != nil {
		return s.refuse(refusal, stream)
	}
	if attached {
		s.stats.Attached.Add(1)
	}
	return s.sendResponse(ctx, j, r, stream)
}

const (
	// endedShare is the divisor for the part of the memory of clients that answers may take which are
	// kept for callers to come back.
	endedShare = 4
	// partBytes is the memory that the parts of an answer take which are on their way to an entry.
	partBytes = 3 * maxDataBytes
)

// headerCost is the memory that a header of a request takes beside its bytes.
const headerCost = 256

// requestCost returns the memory in bytes that the headers of a request and the parts of its answer take.
// Its body is counted as it arrives.
func requestCost(r *peer.ExecuteRequest) int64 {
	cost := partBytes
	for _, h := range r.Headers {
		cost += headerCost + 2*(len(h.Name)+len(h.Value))
	}
	return int64(cost)
}

// refuseMemory returns the refusal of a request for which the agent has no memory. An earlier attempt of
// one that runs at most once may have run.
func refuseMemory(r *peer.ExecuteRequest) *peer.Refusal {
	kind := answer.Overloaded
	if r.Once {
		kind = answer.Undecided
	}
	return &peer.Refusal{Kind: string(kind), Detail: "other requests take the memory of the agent"}
}

// refuse sends a refusal as the only part of a response.
func (s *Server) refuse(r *peer.Refusal, stream peer.Agent_ExecuteServer) error {
	s.stats.Refused.Add(1)
	return stream.Send(&peer.Part{Refusal: r, Load: s.latestLoad.Load()})
}

// sendResponse streams the job's response from the position that the caller has reached.
func (s *Server) sendResponse(ctx context.Context, j *job, r *peer.ExecuteRequest, stream peer.Agent_ExecuteServer) error {
	reader, ok := j.response.NewReader(r.ResumeFrom, !r.Events)
	if !ok {
		kind := answer.StreamLost
		if r.Once {
			kind = answer.AnswerGone
		}
		return s.refuse(&peer.Refusal{Kind: string(kind), Detail: "that part of the answer is no longer kept"}, stream)
	}
	defer func() {
		if reader.Close() == 0 && j.response.Ended() == nil {
			s.events.Send(func(g *gateway) { g.lastReaderLeft(j, time.Now()) })
		}
	}()
	for {
		part, err := reader.Next(ctx)
		if err != nil {
			return status.FromContextError(ctx.Err()).Err()
		}
		if err := s.sendPart(part, stream); err != nil || part.Ending != nil {
			return err
		}
	}
}

// sendPart sends the available part of a response in as few messages as possible.
func (s *Server) sendPart(p upstream.Part, stream peer.Agent_ExecuteServer) error {
	if p.Ending != nil && p.Ending.Refusal != nil {
		return s.refuse(refusalToProto(p.Ending.Refusal), stream)
	}
	message := &peer.Part{}
	if p.Head != nil {
		message.Head = headToProto(p.Head)
	}
	data := mergeChunks(p.Chunks)
	for i, d := range data {
		message.Data = d
		if i < len(data)-1 {
			if err := stream.Send(message); err != nil {
				return err
			}
			message = &peer.Part{}
		}
	}
	if p.Ending != nil {
		message.End = &peer.End{Complete: p.Ending.Complete, Detail: p.Ending.Detail}
		message.Load = s.latestLoad.Load()
	}
	return stream.Send(message)
}

// maxDataBytes bounds the content of one message that is merged from several chunks.
const maxDataBytes = 64 << 10

// mergeChunks merges consecutive chunks, so that few messages carry all that is
// available.
func mergeChunks(chunks []upstream.Chunk) []*peer.Data {
	var out []*peer.Data
	for len(chunks) > 0 {
		merged := chunks[0]
		n := 1
		for n < len(chunks) && len(merged.Content)+len(chunks[n].Content) <= maxDataBytes {
			if n == 1 {
				merged.Content = append([]byte(nil), merged.Content...)
			}
			merged.Content = append(merged.Content, chunks[n].Content...)
			merged.Count += chunks[n].Count
			n++
		}
		out = append(out, &peer.Data{Position: merged.Position, Count: uint32(merged.Count), Content: merged.Content})
		chunks = chunks[n:]
	}
	return out
}

func headToProto(h *upstream.Head) *peer.Head {
	m := &peer.Head{Status: int32(h.Status)}
	for _, x := range h.Headers {
		m.Headers = append(m.Headers, &peer.Header{Name: x.Name, Value: x.Value})
	}
	return m
}

func refusalToProto(r *answer.Refusal) *peer.Refusal {
	return &peer.Refusal{Kind: string(r.Kind), Detail: r.Detail, RetryAfter: durationpb.New(r.RetryAfter)}
}

// startJob runs a job at the upstream in a new goroutine. It is called on the event
// loop.
func (s *Server) startJob(j *job) {
	s.stats.Started.Add(1)
	ctx, cancel := context.WithDeadline(s.lifetime, j.deadline)
	j.cancel = cancel
	request := upstreamRequest(s.self, j)
	go func() {
		defer cancel()
		started := time.Now()
		mayHaveRun := s.client.Run(ctx, request, j.response)
		if !j.response.Ended().Complete {
			s.stats.Interrupted.Add(1)
			s.log.V(1).Info("response interrupted", "request", request.ID, "may-have-run", mayHaveRun, "detail", j.response.Ended().Detail)
		}
		s.events.Send(func(g *gateway) {
			g.finish(j, mayHaveRun, time.Since(started), time.Now())
			s.publishLoad(g)
		})
	}()
}

// upstreamRequest returns the request to the upstream. Only a job that was moved from
// another agent resumes a stream after the events that the caller already has.
func upstreamRequest(self string, j *job) upstream.Request {
	r := j.request
	u := upstream.Request{
		ID: r.RequestId, Method: r.Method, Path: r.Path, Body: r.Body,
		Events: r.Events, StreamID: self + "~" + r.Key,
	}
	if r.Moved {
		u.ResumeFrom = r.ResumeFrom
	}
	for _, h := range r.Headers {
		u.Headers = append(u.Headers, upstream.Header{Name: h.Name, Value: h.Value})
	}
	return u
}

// Seal implements peer.AgentServer. It seals a key that has not run, so that attempts that
// were sent before are refused, and replies whether the request ran.
func (s *Server) Seal(ctx context.Context, r *peer.SealRequest) (*peer.SealReply, error) {
	reply := &peer.SealReply{State: string(answer.RunUnknown)}
	err := s.events.Do(ctx, func(g *gateway) {
		state, ok := g.ledger.Seal(ledgerKey(r.Account, r.Key), r.Term)
		if ok {
			reply.State = sealState(state)
		}
	})
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return reply, nil
}

// sealState returns the protocol's name for a key's state after a seal.
func sealState(state core.KeyState) string {
	switch state {
	case core.Sealed:
		return string(answer.NotRun)
	case core.Done:
		return string(answer.Ran)
	default:
		return string(answer.RunUnknown)
	}
}

// Report implements peer.AgentServer. It streams load reports at the requested interval,
// and immediately when all entries are to be notified. The first report lists all prompt
// prefixes that the gateway holds, a later one usually those added since the last.
func (s *Server) Report(r *peer.ReportRequest, stream peer.Agent_ReportServer) error {
	every := min(max(r.Every.AsDuration(), minReportInterval), maxReportInterval)
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	prefixesAdded, firstReport := uint64(0), true
	for {
		due := s.reportDue()
		report := &peer.LoadReport{Leaving: true}
		// An error means that the stream has ended or that the process is stopping. The
		// report then only says that the agent is leaving.
		_ = s.events.Do(stream.Context(), func(g *gateway) {
			report = s.loadReport(g)
			if report.Prefixes, report.PrefixesAnew = g.prefixesSince(prefixesAdded); firstReport {
				report.PrefixesAnew = true
			}
			prefixesAdded, firstReport = g.prefixesAdded, false
		})
		if err := stream.Send(report); err != nil {
			return err
		}
		select {
		case <-ticker.C:
		case <-due:
		case <-stream.Context().Done():
			return nil
		case <-s.stopReports:
			return nil
		case <-s.lifetime.Done():
			return nil
		}
	}
}

// reportDue returns a channel that is closed when all entries are to be sent a load report
// immediately.
func (s *Server) reportDue() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reportNow
}

// notifyEntries makes all report streams send a load report immediately.
func (s *Server) notifyEntries() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.reportNow)
	s.reportNow = make(chan struct{})
}

// loadReport returns the agent's load without prompt prefixes. It runs on the event loop.
func (s *Server) loadReport(g *gateway) *peer.LoadReport {
	report := g.report(int(s.slots.Load()))
	report.Instance = s.self
	report.Revision = s.current().Revision
	return report
}

// publishLoad stores the load that responses carry. It runs on the event loop.
func (s *Server) publishLoad(g *gateway) { s.latestLoad.Store(s.loadReport(g)) }

// Order implements peer.AgentServer. An agent whose upstream is not a rank refuses all
// orders.
func (s *Server) Order(ctx context.Context, o *peer.GrantOrder) (*peer.GrantReply, error) {
	if s.orderHandler == nil {
		return nil, status.Error(codes.FailedPrecondition, "the agent's upstream is no rank of a group")
	}
	return s.orderHandler.Order(ctx, o)
}
