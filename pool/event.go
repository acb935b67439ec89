package pool

import (
	"time"

	"mulberrydyke/plan"
)

// ID names a pool: the upstreams of one model, or of one plain service, in one
// failure domain.
type ID struct {
	// Name is the model's or the service's name.
	Name   string            `json:"name"`
	Kind   plan.UpstreamKind `json:"kind"`
	Domain plan.DomainID     `json:"domain"`
}

// RequestID names one request of one start of one entry host.
type RequestID struct {
	Host        plan.HostID `json:"host"`
	Incarnation uint64      `json:"incarnation"`
	Sequence    uint64      `json:"sequence"`
}

// Tokens counts tokens.
type Tokens int

// Work estimates the cost of a request in generated tokens.
type Work float64

// ContentHash identifies the content of a request. Zero means unknown.
type ContentHash uint64

// PrefixHash identifies the leading blocks of a prompt. Zero means none.
type PrefixHash uint64

// Request is a request for a place on an upstream. It carries sizes and hashes,
// never the body.
type Request struct {
	ID      RequestID
	Account plan.AccountID
	Class   plan.ClassID
	Tier    plan.Tier
	// Share is the account's weight inside its tier. Above zero.
	Share float64
	// Prompt is the estimated length of the prompt.
	Prompt Tokens
	// MaxOutput is the caller's bound of the answer. Zero means none.
	MaxOutput Tokens
	Prefix    PrefixHash
	Content   ContentHash
	// Arrived is when the entry host received the request.
	Arrived time.Time
	// Target is the latency target of the request's class.
	Target plan.Target
	// Avoid names the upstream on which an earlier try failed.
	Avoid plan.UpstreamID
	// Idempotent requests may be used to probe an upstream.
	Idempotent bool
}

// longPrompt is the length from which a prompt counts as unread until its first
// token comes.
const longPrompt Tokens = 500

// HasLongPrompt says whether the scheduler wants to know of the first token when it
// comes. Otherwise the report of the end is early enough.
func (a *Request) HasLongPrompt() bool { return a.Prompt >= longPrompt }

// unread is the part of the prompt that counts until the first token comes.
func (a *Request) unread() Tokens {
	if a.HasLongPrompt() {
		return a.Prompt
	}
	return 0
}

// Run is a granted request, as its entry host describes it to a new scheduler.
type Run struct {
	Ask      Request
	Upstream plan.UpstreamID
	Started  bool
}

// Outcome says how a run ended.
type Outcome int

// Outcomes of a run.
const (
	// Done means that the whole answer came.
	Done Outcome = iota + 1
	// Cancelled means that the caller left.
	Cancelled
	// Crashed means that the upstream died during the run.
	Crashed
	// Refused means that the upstream refused before running.
	Refused
	// Stalled means that the upstream stopped making progress.
	Stalled
	// Unused means that the grant was given back before dispatch.
	Unused
)

// Instance identifies one start of an upstream's process.
type Instance string

// Event is what a scheduler can be told.
type Event interface{ event() }

type (
	// Submitted queues a request.
	Submitted struct{ Request Request }
	// Withdrawn removes a request that waits, because its caller left.
	Withdrawn struct{ ID RequestID }
	// Started reports the first token of a run.
	Started struct {
		ID RequestID
		// Latency runs from dispatch to the first token.
		Latency time.Duration
	}
	// Ended reports the end of a run.
	Ended struct {
		ID       RequestID
		Outcome  Outcome
		Output   Tokens
		Instance Instance
		// FirstToken runs from dispatch to the first token. Zero where none
		// came.
		FirstToken time.Duration
		// Between is the mean gap between tokens. Zero where unknown.
		Between time.Duration
	}
	// LoadReported is an upstream's own, lagging report of its load.
	LoadReported struct {
		Upstream plan.UpstreamID
		// Memory is the used part of the KV memory, 0 to 1.
		Memory float64
		// Age is how old the report is.
		Age time.Duration
	}
	// Reconfigured replaces the upstreams and floors of the pool.
	Reconfigured struct {
		Upstreams []plan.Upstream
		// Floors has one entry per tier, by Tier.
		Floors     [plan.LowestTier + 1]float64
		Quarantine time.Duration
		// LimitFraction scales every upstream's limit. It lies in (0, 1]; below 1 where
		// several hosts decide for the pool without each other.
		LimitFraction float64
	}
	// RunsRestored tells a new scheduler about runs that an earlier one granted.
	RunsRestored struct{ Runs []Run }
	// CrashesReported merges what another host knows of crashes.
	CrashesReported struct{ Suspects []Suspect }
	// HostGone forgets every request of one start of an entry host.
	HostGone struct {
		Host        plan.HostID
		Incarnation uint64
	}
	// GrantsConfirmed says which of its grants an entry host still holds. Others
	// that were made well before it was asked are taken off the books.
	GrantsConfirmed struct {
		Host        plan.HostID
		Incarnation uint64
		// Held are the sequence numbers of the requests.
		Held []uint64
		// QueriedAt is when the host was asked.
		QueriedAt time.Time
	}
	// Ticked lets time pass.
	Ticked struct{}
)

func (*Submitted) event()       {}
func (*Withdrawn) event()       {}
func (*Started) event()         {}
func (*Ended) event()           {}
func (*LoadReported) event()    {}
func (*Reconfigured) event()    {}
func (*RunsRestored) event()    {}
func (*CrashesReported) event() {}
func (*HostGone) event()        {}
func (*GrantsConfirmed) event() {}
func (*Ticked) event()          {}

// Reason says why a request was refused. No refused request was run.
type Reason string

// Reasons of a scheduler.
const (
	// QueueFull means that the pool's queue held more work than its bound and
	// nothing of a lower tier was queued.
	QueueFull Reason = "queue-full"
	// NoUpstream means that the pool has no upstream that takes new work.
	NoUpstream Reason = "no-upstream"
	// Quarantined means that the request crashed two upstreams.
	Quarantined Reason = "quarantined"
)

// CommandKind tells grants from refusals.
type CommandKind int

// Kinds of command.
const (
	// Grant gives a request its place on an upstream.
	Grant CommandKind = iota + 1
	// Refuse turns a request away.
	Refuse
)

// Command is what a scheduler wants done. It is a plain struct so that a
// scheduler in steady state allocates nothing.
type Command struct {
	Kind CommandKind
	ID   RequestID
	// Upstream is set for Grant.
	Upstream plan.UpstreamID
	// Reason and RetryAfter are set for Refuse.
	Reason     Reason
	RetryAfter time.Duration
}
