package pool

import (
	"time"

	"mulberrydyke/plan"
	"mulberrydyke/ratelimit"
)

// ID identifies a pool: the upstreams of one model, or of one service without
// models, in one failure domain.
type ID struct {
	// Name is the name of the model or service.
	Name   string            `json:"name"`
	Kind   plan.UpstreamKind `json:"kind"`
	Domain plan.DomainID     `json:"domain"`
}

// RequestID identifies a request. Sequence numbers are unique within one
// incarnation of an entry host, that is, one start of its process.
type RequestID struct {
	Host        plan.HostID `json:"host"`
	Incarnation uint64      `json:"incarnation"`
	Sequence    uint64      `json:"sequence"`
}

// Tokens is a number of tokens.
type Tokens int

// Work is the estimated cost of a request, in units of one generated token.
type Work float64

// ContentHash is a hash of the content of a request. Zero means unknown.
type ContentHash uint64

// PrefixHash is a hash of the leading blocks of a prompt. Zero means none.
type PrefixHash uint64

// Request describes a request that needs a slot on an upstream. It carries
// sizes and hashes, never the body.
type Request struct {
	ID      RequestID
	Account plan.AccountID
	Class   plan.ClassID
	Tier    plan.Tier
	// Share is the account's fair-queueing weight within its tier. It is above
	// zero.
	Share float64
	// Prompt is the estimated length of the prompt in tokens.
	Prompt Tokens
	// MaxOutput is the caller's limit on the length of the answer. Zero means
	// none.
	MaxOutput Tokens
	Prefix    PrefixHash
	Content   ContentHash
	// Arrived is the time at which the entry host received the request.
	Arrived time.Time
	// Target is the latency target of the request's class.
	Target plan.Target
	// Avoid is the upstream on which an earlier attempt failed.
	Avoid plan.UpstreamID
	// Idempotent is set if the request may run more than once, so that it may
	// probe an upstream that is on probation.
	Idempotent bool
}

// longPromptTokens is the length from which a prompt counts as pending prefill
// until the first token of its answer arrives.
const longPromptTokens Tokens = 500

// HasLongPrompt reports whether the entry host has to send a Started event as
// soon as the first token arrives. For shorter prompts the Ended event, which
// carries the same latency, is early enough.
func (r *Request) HasLongPrompt() bool { return r.Prompt >= longPromptTokens }

// prefillTokens returns the number of prompt tokens that count as pending
// prefill until the first token arrives. It is zero for short prompts.
func (r *Request) prefillTokens() Tokens {
	if r.HasLongPrompt() {
		return r.Prompt
	}
	return 0
}

// Run is a granted request as its entry host reports it to a new scheduler.
type Run struct {
	Ask      Request
	Upstream plan.UpstreamID
	Started  bool
}

// Outcome is the way in which a run ended.
type Outcome int

// The outcomes of a run.
const (
	// Done means that the whole answer was received.
	Done Outcome = iota + 1
	// Canceled means that the caller disconnected.
	Canceled
	// Crashed means that the upstream's process crashed during the run.
	Crashed
	// Refused means that the upstream refused the request before running it.
	Refused
	// Stalled means that the upstream stopped making progress.
	Stalled
	// Unused means that the grant was returned before the request was sent.
	Unused
)

// Instance identifies one start of an upstream's process.
type Instance string

// Event is an input of a scheduler. The types below implement it.
type Event interface{ isEvent() }

type (
	// Submitted queues a request.
	Submitted struct{ Request Request }
	// Withdrawn removes a waiting request, because its caller disconnected.
	Withdrawn struct{ ID RequestID }
	// Started reports the first token of a run.
	Started struct {
		ID RequestID
		// Latency is the time from dispatch to the first token.
		Latency time.Duration
	}
	// Ended reports the end of a run.
	Ended struct {
		ID       RequestID
		Outcome  Outcome
		Output   Tokens
		Instance Instance
		// FirstToken is the time from dispatch to the first token. It is zero
		// if no token was received.
		FirstToken time.Duration
		// Between is the mean interval between tokens. It is zero if unknown.
		Between time.Duration
	}
	// TermsStated carries what an upstream said in the head of a response.
	TermsStated struct {
		Upstream plan.UpstreamID
		// Rate is its rate limit, or ratelimit.NoLimit. RateUnknown is set if it said
		// nothing of it.
		Rate        ratelimit.Rate
		RateUnknown bool
		// SentAge and HeardAge are the times since the request was sent and since the head
		// of the response arrived.
		SentAge, HeardAge time.Duration
		// RetryAfter is the time after which it takes requests again, or zero.
		RetryAfter time.Duration
		// Draining is set if it said that it is draining, and Instance is the process that did.
		Draining bool
		Instance Instance
	}
	// LoadReported carries an upstream's own report of its load, which lags
	// behind the scheduler's counts.
	LoadReported struct {
		Upstream plan.UpstreamID
		// Memory is the used fraction of the KV cache memory, from 0 to 1.
		Memory float64
		// Age is the age of the report.
		Age time.Duration
		// Instance is the process that made it, or "" if it is not known.
		Instance Instance
	}
	// Reconfigured replaces the upstreams and floors of the pool.
	Reconfigured struct {
		Upstreams []plan.Upstream
		// Floors is the guaranteed minimum share of each tier, indexed by Tier.
		Floors [plan.LowestTier + 1]float64
		// Quarantine is how long a request that crashed upstreams is refused.
		Quarantine time.Duration
		// LimitFraction scales the limit of every upstream. It lies in (0, 1]
		// and is below 1 if several hosts schedule the pool independently.
		LimitFraction float64
	}
	// RunsRestored reports to a new scheduler the runs that an earlier one
	// granted.
	RunsRestored struct{ Runs []Run }
	// CrashesReported adds crashes that another host reported.
	CrashesReported struct{ Suspects []Suspect }
	// HostGone removes every request of one incarnation of an entry host.
	HostGone struct {
		Host        plan.HostID
		Incarnation uint64
	}
	// GrantsConfirmed lists the grants that an entry host still holds. Its
	// other grants are released if they were made well before the query.
	GrantsConfirmed struct {
		Host        plan.HostID
		Incarnation uint64
		// Held is the list of sequence numbers of the requests.
		Held []uint64
		// QueriedAt is the time at which the host was queried.
		QueriedAt time.Time
	}
	// Ticked triggers periodic work such as expiry and health checks.
	Ticked struct{}
)

func (*Submitted) isEvent()       {}
func (*Withdrawn) isEvent()       {}
func (*Started) isEvent()         {}
func (*Ended) isEvent()           {}
func (*TermsStated) isEvent()     {}
func (*LoadReported) isEvent()    {}
func (*Reconfigured) isEvent()    {}
func (*RunsRestored) isEvent()    {}
func (*CrashesReported) isEvent() {}
func (*HostGone) isEvent()        {}
func (*GrantsConfirmed) isEvent() {}
func (*Ticked) isEvent()          {}

// Reason is the reason why a request was refused. A refused request has not
// been run.
type Reason string

// The reasons for which a scheduler refuses requests.
const (
	// QueueFull means that the request was shed: the pool's queue held more
	// work than its limit, or a tier was too far behind its latency target, and
	// nothing of a lower tier was queued.
	QueueFull Reason = "queue-full"
	// NoUpstream means that the pool has no upstream that takes new work.
	NoUpstream Reason = "no-upstream"
	// Quarantined means that the request crashed two upstreams, or that requests which
	// begin alike crashed three.
	Quarantined Reason = "quarantined"
)

// CommandKind is the kind of a command.
type CommandKind int

// The kinds of commands.
const (
	// Grant assigns a request to an upstream.
	Grant CommandKind = iota + 1
	// Refuse rejects a request.
	Refuse
)

// Command is a decision of a scheduler on one request. It is a struct rather
// than an interface so that a scheduler in steady state does not allocate.
type Command struct {
	Kind CommandKind
	ID   RequestID
	// Upstream is set for Grant. RateLimited is set if it has a rate limit.
	Upstream    plan.UpstreamID
	RateLimited bool
	// Reason and RetryAfter are set for Refuse.
	Reason     Reason
	RetryAfter time.Duration
}
