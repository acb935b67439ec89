package dispatch

import (
	"time"

	"mulberrydyke/call"
	"mulberrydyke/plan"
	"mulberrydyke/route"
)

// Lease is the slot that one request holds on an upstream.
type Lease struct {
	Upstream *route.Upstream
	Class    Class
	// UncachedTokens is how many tokens of the prompt the engine is expected to
	// prefill.
	UncachedTokens int
	// Cost is the cost of the upstream when it was chosen: the expected time to
	// the first event plus penalties.
	Cost time.Duration
	// AcquiredAt is when the lease was acquired.
	AcquiredAt time.Time
	// Candidates is the number of upstreams that were eligible.
	Candidates int
	// ShortEngines is how many engines of the service served short prompts.
	ShortEngines int
	// PrefillSpeed is the measured prefill speed of the service's engines, in
	// tokens per millisecond.
	PrefillSpeed float64
	// Speed is the estimated speed of the upstream relative to the others of its service,
	// 1 if they are alike.
	Speed float64
	// MedianLatency is the median response time of a plain service. Zero means
	// that none has been measured.
	MedianLatency time.Duration
	target        *target
	prompt        *call.Prompt
	// started is set after the first event.
	started, released bool
	// ownPrefill is the expected time to the first event on an engine without other prompts.
	ownPrefill time.Duration
	// expectedWait is the wait in milliseconds that the load of all hosts explained when
	// the lease was acquired.
	expectedWait float64
	// firstEventLoad is the load of the upstream at the first event.
	firstEventLoad relativeLoad
}

// NoUpstreamError reports that no upstream can take a request.
type NoUpstreamError struct {
	Service plan.ServiceID
	// Listed is the number of upstreams of the service, in any state.
	Listed int
}

func (e *NoUpstreamError) Error() string {
	return "no upstream available for service " + string(e.Service)
}

// OverloadError reports that a request is refused because every engine that
// should run it would respond late, and running it would make other requests late.
type OverloadError struct {
	Upstream plan.UpstreamID
	// Wait is the expected time until the engine has prefilled the queued prompts.
	Wait time.Duration
	// RetryAfter is the delay after which the caller may retry.
	RetryAfter time.Duration
}

func (e *OverloadError) Error() string {
	return "engine " + string(e.Upstream) + " has a prefill queue of " + e.Wait.String()
}

// Result is the outcome of a lease.
type Result int

// Results of a lease.
const (
	// Done means that the upstream sent a complete response.
	Done Result = iota
	// Failed means that the upstream responded with an error of its own.
	Failed
	// Refused means that the upstream did not run the request.
	Refused
	// Misdirected means that another upstream now has the address.
	Misdirected
	// Unreachable means that no connection could be opened.
	Unreachable
	// Broken means that the connection was lost during the request.
	Broken
	// Abandoned means that the caller disconnected or its deadline passed.
	Abandoned
	// Unsent means that the request was not sent after all, which says nothing about the
	// upstream.
	Unsent
)

// String returns the name of the result that logs use.
func (r Result) String() string {
	return [...]string{"done", "failed", "refused", "misdirected", "unreachable", "broken", "abandoned", "unsent"}[r]
}
