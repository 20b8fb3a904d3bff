package reference

import (
	"cmp"
	"encoding/hex"
	"fmt"
	"time"
)

// Kinds of levels on which a setting may be set. Settings of processes are set
// on the fleet or a failure domain; settings of a target, which is a service or a
// model group, also on the target itself.
var (
	allLevels     = LevelKinds
	processLevels = []LevelKind{Fleet, FailureDomain}
	domainOnly    = []LevelKind{FailureDomain}
	targetLevels  = []LevelKind{Fleet, FailureDomain, Service, Group}
	targetOnly    = []LevelKind{Service, Group}
	groupLevels   = []LevelKind{Fleet, FailureDomain, Group}
	groupOnly     = []LevelKind{Group}
	serviceLevels = []LevelKind{Fleet, FailureDomain, Service}
	accountOnly   = []LevelKind{ClientAccount}
	accountLevels = []LevelKind{Fleet, ClientAccount}
)

// atLeast returns a check that a value is not below low.
func atLeast[T cmp.Ordered](low T) func(T) error {
	return func(v T) error {
		if v < low {
			return fmt.Errorf("must be at least %v", low)
		}
		return nil
	}
}

// within returns a check that a value lies between low and high, both inclusive.
func within[T cmp.Ordered](low, high T) func(T) error {
	return func(v T) error {
		if v < low || v > high {
			return fmt.Errorf("must lie between %v and %v", low, high)
		}
		return nil
	}
}

// checkSHA256Hex returns an error unless s is a SHA-256 in hexadecimal.
func checkSHA256Hex(s string) error {
	if b, err := hex.DecodeString(s); err != nil || len(b) != 32 {
		return fmt.Errorf("must be the SHA-256 of the bearer key, 64 hexadecimal digits")
	}
	return nil
}

// Settings of requests.
var (
	RequestDeadline = declare("request-deadline", 5*time.Minute, allLevels, atLeast(time.Millisecond),
		"Longest time from a request's arrival to the end of its answer.")
	BodyLimit = declare("body-limit", 4<<20, allLevels, within(1, 64<<20),
		"Largest request body in bytes.")
	Retries = declare("retries", 3, targetLevels, within(0, 10),
		"Most further upstreams that one request is tried at.")
	RetryRatio = declare("retry-ratio", 0.1, targetLevels, within(0.0, 1.0),
		"Retries allowed per request over the recent past, so that a failing upstream does not multiply load.")
	IdempotentMethods = declare("idempotent-methods", []string{"GET", "HEAD", "OPTIONS"}, serviceLevels, nil,
		"Methods of the service whose calls may be repeated without a key.")
	ClaimRetention = declare("claim-retention", 24*time.Hour, processLevels, atLeast(time.Minute),
		"How long a key used without a session is remembered; a caller must not retry it later.")
	OwnerTimeout = declare("owner-timeout", time.Second, targetLevels, atLeast(100*time.Millisecond),
		"How long an entry tries to reach the owner of a session or stream before it answers owner-unreachable.")
)

// EvacuatedName is the name of the setting Evacuated.
const EvacuatedName = "evacuated"

// Settings of upstreams.
var (
	Evacuated = declare(EvacuatedName, false, domainOnly, nil,
		"Whether the upstreams of the failure domain get no new requests.")
	Upstreams = declare("upstreams", []string{}, targetOnly, nil,
		"Instances whose upstreams serve this service or model group; for a model group in the order of the ranks.")
	Model = declare("model", "", groupOnly, nil,
		"Name under which callers ask for the model.")
	UpstreamSlots = declare("upstream-slots", 32, targetLevels, within(1, 1<<16),
		"Requests that an upstream runs at once.")
	QueueLength = declare("queue-length", 128, targetLevels, within(0, 1<<16),
		"Requests that wait at an upstream at most.")
	QueueWait = declare("queue-wait", 2*time.Second, targetLevels, atLeast(time.Millisecond),
		"Longest time a request waits at an upstream; one that would wait longer is refused at once.")
	EjectionFailures = declare("ejection-failures", 5, targetLevels, within(1, 1000),
		"Failures in a row after which an upstream is ejected.")
	EjectionTime = declare("ejection-time", 5*time.Second, targetLevels, atLeast(100*time.Millisecond),
		"Time for which an upstream is ejected the first time; it doubles with each repetition up to ten times.")
	SlowFactor = declare("slow-factor", 4.0, targetLevels, atLeast(1.0),
		"An upstream whose typical time is this many times the median's is ejected as slow.")
	AgentsHeard = declare("agents-heard", 16, targetLevels, within(1, 1024),
		"Agents of one service or model group whose load reports an entry listens to.")
	ReportInterval = declare("report-interval", 500*time.Millisecond, processLevels, within(50*time.Millisecond, 10*time.Second),
		"Interval of the agents' load reports.")
	ResumeWindow = declare("resume-window", 10*time.Second, targetLevels, atLeast(time.Duration(0)),
		"How long an answer without a reader goes on, and is kept, for its caller to come back.")
	AnswerBuffer = declare("answer-buffer", 1<<20, targetLevels, within(1024, 64<<20),
		"Bytes of one answer that an agent keeps for retries and resumption.")
	AnswersTotal = declare("answers-total", 32<<20, processLevels, within(1024, 1<<30),
		"Bytes of the answers to keyed requests that an agent keeps for retries; of older ones it knows only that they ran. As many bytes at most are kept of other ended answers.")
	EngineResume = declare("engine-resume", true, groupLevels, nil,
		"Whether the group's engines can go on from the tokens that another engine generated.")
	LedgerCapacity = declare("ledger-capacity", 50000, processLevels, within(16, 10_000_000),
		"Keys in one generation of an agent's ledger; a full ledger begins a new generation.")
	LedgerRetention = declare("ledger-retention", time.Hour, processLevels, atLeast(time.Second),
		"Age at which a generation of the ledger is closed. Its keys are answered for as long again, then its term ends.")
)

// Settings of client accounts.
var (
	KeyHash = declare("key-hash", "", accountOnly, checkSHA256Hex,
		"SHA-256 of the account's bearer key in hexadecimal; the key itself is kept nowhere.")
	Weight = declare("weight", 1.0, accountLevels, within(0.01, 1000.0),
		"The account's share of a busy upstream, relative to the other accounts'.")
	Priority = declare("priority", 0, accountLevels, within(-10, 10),
		"Waiting requests of a higher priority are started first.")
	MayUse = declare("may-use", []string{"*"}, accountLevels, nil,
		"Services and model groups that the account may use; * for all.")
)

// Settings of the processes.
var (
	DrainGrace = declare("drain-grace", 2*time.Second, processLevels, atLeast(time.Duration(0)),
		"How long a leaving entry goes on accepting work after /readyz turned to 503, so that the balancer takes notice.")
	DrainLimit = declare("drain-limit", 60*time.Second, processLevels, atLeast(time.Duration(0)),
		"Longest time a leaving process waits for running work before it hands streams back to be resumed.")
	EntryConcurrency = declare("entry-concurrency", 4096, processLevels, within(1, 1<<20),
		"Requests in progress at one entry; one more is refused at once.")
	LeaseDuration = declare("lease-duration", 10*time.Second, processLevels, atLeast(500*time.Millisecond),
		"Duration of the leases of control duties; it holds from the next time an entry begins to contend for one.")
	SpreadInterval = declare("spread-interval", time.Second, processLevels, within(50*time.Millisecond, 30*time.Second),
		"Interval at which a process compares settings with a peer.")
	Watchers = declare("watchers", 2, processLevels, within(1, 16),
		"Entries per failure domain that hold a watch on the platform.")
	LogLevel = declare("log-level", 0, processLevels, within(0, 4),
		"Verbosity of the log, 0 for the least.")
)

// Settings of expert placement.
var (
	ExpertParallel = declare("expert-parallel", false, groupOnly, nil,
		"Whether the group's engines are ranks that step in lock-step on an expert map.")
	WeightFetch = declare("weight-fetch", 200*time.Millisecond, groupLevels, atLeast(time.Millisecond),
		"Time that the weight store takes to serve one expert's weights.")
	PlacementHorizon = declare("placement-horizon", 30*time.Minute, groupLevels, atLeast(time.Minute),
		"Time for which a shorter step is counted as saved when a move is weighed.")
	Layers = declare("layers", 8, groupLevels, within(1, 1024),
		"Layers of the model that have experts.")
	Experts = declare("experts", 64, groupLevels, within(1, 4096),
		"Experts in a layer.")
	ExpertSlots = declare("expert-slots", 0, groupLevels, within(0, 4096),
		"Experts of one layer that a rank has memory for; 0 for one more than an even share.")
	SkewWeight = declare("skew-weight", 1.0, groupLevels, atLeast(0.0),
		"Value of a second of step time saved by less skew.")
	MoveWeight = declare("move-weight", 1.0, groupLevels, atLeast(0.0),
		"Cost of a second of fetching weights for a moved expert.")
	MovesPerHour = declare("moves-per-hour", 2000, groupLevels, atLeast(0),
		"Budget of expert moves of a group.")
	PlacementInterval = declare("placement-interval", 30*time.Second, groupLevels, atLeast(100*time.Millisecond),
		"Interval at which a group's placement is reconsidered.")
)
