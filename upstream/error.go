package upstream

import (
	"fmt"

	"mulberrydyke/plan"
)

// Fault classifies what went wrong at an upstream.
type Fault string

// Faults of a request at an upstream.
const (
	// NotSent means that no byte of the request was written. It was not run.
	NotSent Fault = "not-sent"
	// Refused means that the upstream refused before running. It was not run.
	Refused Fault = "refused"
	// Broken means that the connection broke after the request was written.
	Broken Fault = "broken"
	// Silent means that the upstream made no progress for too long.
	Silent Fault = "silent"
	// Mismatch means that the answer is not this request's own.
	Mismatch Fault = "mismatch"
	// TooLarge means that the answer exceeded its bound.
	TooLarge Fault = "too-large"
	// CallerGone means that the caller left.
	CallerGone Fault = "caller-gone"
)

// Error reports a request that got no whole answer.
type Error struct {
	Upstream plan.UpstreamID
	Fault    Fault
	// Status is the upstream's HTTP status for Refused.
	Status int
	// Reason is text for logs.
	Reason string
}

func (e *Error) Error() string {
	return fmt.Sprintf("upstream %s: %s: %s", e.Upstream, e.Fault, e.Reason)
}

// NotRun says whether the request certainly did not run.
func (e *Error) NotRun() bool { return e.Fault == NotSent || e.Fault == Refused }
