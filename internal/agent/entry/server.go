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
	"bramleydeal/internal/wire/peer"
	"bramleydeal/internal/world/answer"
	"github.com/go-logr/logr"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"
)

// Sizes and times of the door.
const (
	eventQueueSize = 1024
	tickInterval   = 100 * time.Millisecond
	// maxReportEvery bounds the interval that an entry may ask for.
	maxReportInterval = 10 * time.Second
	minReportInterval = 50 * time.Millisecond
)

// Orders handles the step-grant messages for the agent's rank.
type OrderHandler interface {
	Order(context.Context, *peer.GrantOrder) (*peer.GrantReply, error)
}

// Server is the agent's gRPC side.
type Server struct {
	peer.UnimplementedAgentServer

	self         string
	target       string
	scope        tree.Scope
	current      func() *snapshot.Snapshot
	client       *upstream.Client
	pool         *dial.Pool
	orderHandler OrderHandler
	log          logr.Logger
	events       *eventloop.Loop[*gateway]
	slots        atomic.Int64
	// latest is the load as of the loop's last event.
	latestLoad atomic.Pointer[peer.LoadReport]
	lifetime   context.Context

	mu        sync.Mutex
	reportNow chan struct{}
	stopped   chan struct{}
	stats     Stats
}

// Stats counts what the door did.
type Stats struct {
	Executed, Attached, Refused, Started, Interrupted, HandedOver, Adopted atomic.Uint64
}

// Config is what a Server is made of.
type Config struct {
	Self string
	// Incarnation names this run of the process; no two runs share one.
	Incarnation string
	Target      string
	Scope       tree.Scope
	// Current returns the settings in force.
	Current func() *snapshot.Snapshot
	Client  *upstream.Client
	Pool    *dial.Pool
	// Orders is nil for an agent without a rank.
	OrderHandler OrderHandler
	Log          logr.Logger
}

// NewServer returns the door of an agent. ctx bounds the lifetime of its
// running requests.
func NewServer(ctx context.Context, c Config) *Server {
	s := &Server{
		self: c.Self, target: c.Target, scope: c.Scope, current: c.Current, client: c.Client,
		pool: c.Pool, orderHandler: c.OrderHandler, log: c.Log, lifetime: ctx, reportNow: make(chan struct{}), stopped: make(chan struct{}),
	}
	t := c.Current().Tree
	g := &gateway{
		ledger: core.NewLedger[*job](c.Incarnation, tree.Get(t, s.scope, reference.LedgerCapacity),
			tree.Get(t, s.scope, reference.LedgerRetention), time.Now()),
		queue:     client.NewQueue(client.QueueConfig{}),
		resumable: map[string]*job{},
		queued:    map[uint64]*job{},
		start:     s.startJob,
	}
	s.configure(g, c.Current())
	s.publishLoad(g)
	s.events = eventloop.NewLoop(g, eventQueueSize)
	return s
}

// Run serves the door's loop until ctx ends.
func (s *Server) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { s.events.Run(ctx) })
	group.Go(func() { s.runTicks(ctx) })
	group.Wait()
}

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

// SettingsChanged applies a new snapshot.
func (s *Server) SettingsChanged(now *snapshot.Snapshot) {
	s.events.Send(func(g *gateway) { s.configure(g, now) })
}

func (s *Server) configure(g *gateway, now *snapshot.Snapshot) {
	slots := tree.Get(now.Tree, s.scope, reference.UpstreamSlots)
	s.slots.Store(int64(slots))
	g.queue.Configure(client.QueueConfig{
		Slots:     slots,
		MaxLength: tree.Get(now.Tree, s.scope, reference.QueueLength),
		MaxWait:   tree.Get(now.Tree, s.scope, reference.QueueWait),
	})
	g.ledger.Configure(tree.Get(now.Tree, s.scope, reference.LedgerCapacity), tree.Get(now.Tree, s.scope, reference.LedgerRetention))
	g.resumeWindow = tree.Get(now.Tree, s.scope, reference.ResumeWindow)
	g.maxRetainedBytes = tree.Get(now.Tree, s.scope, reference.AnswersTotal)
	g.bufferLimit = tree.Get(now.Tree, s.scope, reference.AnswerBuffer)
}

// Execute implements peer.AgentServer.
func (s *Server) Execute(r *peer.ExecuteRequest, stream peer.Agent_ExecuteServer) error {
	ctx := stream.Context()
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(tree.Get(s.current().Tree, s.scope, reference.RequestDeadline))
	}
	s.stats.Executed.Add(1)
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

func (s *Server) refuse(r *peer.Refusal, stream peer.Agent_ExecuteServer) error {
	s.stats.Refused.Add(1)
	return stream.Send(&peer.Part{Refusal: r, Load: s.latestLoad.Load()})
}

// deliver follows the job's answer from where the caller stands.
func (s *Server) sendResponse(ctx context.Context, j *job, r *peer.ExecuteRequest, stream peer.Agent_ExecuteServer) error {
	reader, ok := j.buffer.Read(r.ResumeFrom, !r.Events)
	if !ok {
		kind := answer.StreamLost
		if r.Once {
			kind = answer.AnswerGone
		}
		return s.refuse(&peer.Refusal{Kind: string(kind), Detail: "that part of the answer is no longer kept"}, stream)
	}
	defer func() {
		if reader.Close() == 0 && j.buffer.Ended() == nil {
			s.events.Send(func(g *gateway) { g.lastReaderLeft(j, time.Now()) })
		}
	}()
	for {
		step, err := reader.Next(ctx)
		if err != nil {
			return status.FromContextError(ctx.Err()).Err()
		}
		if err := s.sendPart(step, stream); err != nil || step.Ending != nil {
			return err
		}
	}
}

// send sends what is ready in as few parts as it fits.
func (s *Server) sendPart(step upstream.Part, stream peer.Agent_ExecuteServer) error {
	if step.Ending != nil && step.Ending.Refusal != nil {
		return s.refuse(refusalToProto(step.Ending.Refusal), stream)
	}
	part := &peer.Part{}
	if step.Head != nil {
		part.Head = headToProto(step.Head)
	}
	data := mergeChunks(step.Chunks)
	for i, d := range data {
		part.Data = d
		if i < len(data)-1 {
			if err := stream.Send(part); err != nil {
				return err
			}
			part = &peer.Part{}
		}
	}
	if step.Ending != nil {
		part.End = &peer.End{Complete: step.Ending.Complete, Detail: step.Ending.Detail}
		part.Load = s.latestLoad.Load()
	}
	return stream.Send(part)
}

// maxData bounds the content of one message in bytes, well below the limit of
// a message.
const maxDataBytes = 1 << 20

// join joins neighbouring pieces, so that what is ready together goes in one
// message.
func mergeChunks(pieces []upstream.Chunk) []*peer.Data {
	var out []*peer.Data
	for len(pieces) > 0 {
		joined := pieces[0]
		n := 1
		for n < len(pieces) && len(joined.Content)+len(pieces[n].Content) <= maxDataBytes {
			if n == 1 {
				joined.Content = append([]byte(nil), joined.Content...)
			}
			joined.Content = append(joined.Content, pieces[n].Content...)
			joined.Count += pieces[n].Count
			n++
		}
		out = append(out, &peer.Data{Position: joined.Position, Count: uint32(joined.Count), Content: joined.Content})
		pieces = pieces[n:]
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

// start runs a job on a goroutine of its own; it is called on the door's loop.
func (s *Server) startJob(j *job) {
	s.stats.Started.Add(1)
	ctx, cancel := context.WithDeadline(s.lifetime, j.deadline)
	j.cancel = cancel
	request := upstreamRequest(s.self, j)
	go func() {
		defer cancel()
		begun := time.Now()
		mayHaveRun := s.client.Run(ctx, request, j.buffer)
		if !j.buffer.Ended().Complete {
			s.stats.Interrupted.Add(1)
			s.log.V(1).Info("the answer broke off", "request", request.ID, "may-have-run", mayHaveRun, "detail", j.buffer.Ended().Detail)
		}
		s.events.Send(func(g *gateway) {
			g.finish(j, mayHaveRun, time.Since(begun), time.Now())
			s.publishLoad(g)
		})
	}()
}

func upstreamRequest(self string, j *job) upstream.Request {
	r := j.request
	u := upstream.Request{
		ID: r.RequestId, Method: r.Method, Path: r.Path, Body: r.Body, Once: r.Once,
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

// Seal implements peer.AgentServer.
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

// Report implements peer.AgentServer.
func (s *Server) Report(r *peer.ReportRequest, stream peer.Agent_ReportServer) error {
	every := min(max(r.Every.AsDuration(), minReportInterval), maxReportInterval)
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	noted, anew := uint64(0), true
	for {
		changed := s.reportDue()
		report := &peer.LoadReport{Leaving: true}
		// An error means that the process is stopping.
		_ = s.events.Do(stream.Context(), func(g *gateway) {
			report = s.loadReport(g)
			if report.Prefixes, report.PrefixesAnew = g.prefixesSince(noted); anew {
				report.PrefixesAnew = true
			}
			noted, anew = g.prefixesAdded, false
		})
		if err := stream.Send(report); err != nil {
			return err
		}
		select {
		case <-ticker.C:
		case <-changed:
		case <-stream.Context().Done():
			return nil
		case <-s.stopped:
			return nil
		case <-s.lifetime.Done():
			return nil
		}
	}
}

// changes returns a channel that closes when all entries must be told at once.
func (s *Server) reportDue() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reportNow
}

func (s *Server) notifyEntries() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.reportNow)
	s.reportNow = make(chan struct{})
}

// report returns the agent's load without prefixes; it runs on the loop.
func (s *Server) loadReport(g *gateway) *peer.LoadReport {
	report := g.report(int(s.slots.Load()))
	report.Instance = s.self
	report.Revision = s.current().Revision
	return report
}

// publish keeps the load for answers to carry; it runs on the loop.
func (s *Server) publishLoad(g *gateway) { s.latestLoad.Store(s.loadReport(g)) }

// Order implements peer.AgentServer.
func (s *Server) Order(ctx context.Context, o *peer.GrantOrder) (*peer.GrantReply, error) {
	if s.orderHandler == nil {
		return nil, status.Error(codes.FailedPrecondition, "the agent's upstream is no rank of a group")
	}
	return s.orderHandler.Order(ctx, o)
}
