package upstream

import (
	"fmt"

	"mulberrydyke/plan"
)

// Fault is the kind of a failure of a request to an upstream.
type Fault string

// Faults of a request to an upstream.
const (
	// NotSent means that no byte of the request was written. The request did not
	// run.
	NotSent Fault = "not-sent"
	// Refused means that the upstream refused the request without running it.
	Refused Fault = "refused"
	// Broken means that the connection broke after it was obtained, or that the
	// upstream responded with a server error. The request may have run.
	Broken Fault = "broken"
	// Silent means that the upstream made no progress within the timeout.
	Silent Fault = "silent"
	// Mismatch means that the response does not belong to the request, or that
	// its stream of events is invalid.
	Mismatch Fault = "mismatch"
	// TooLarge means that the response exceeded its size limit.
	TooLarge Fault = "too-large"
	// CallerGone means that the caller disconnected or canceled the request.
	CallerGone Fault = "caller-gone"
)

// Error reports a request that got no complete response.
type Error struct {
	Upstream plan.UpstreamID
	Fault    Fault
	// Status is the HTTP status of the response, where it caused the error.
	Status int
	// Reason describes the failure.
	Reason string
}

func (e *Error) Error() string {
	return fmt.Sprintf("upstream %s: %s: %s", e.Upstream, e.Fault, e.Reason)
}

// NotRun reports whether the request certainly did not run.
func (e *Error) NotRun() bool { return e.Fault == NotSent || e.Fault == Refused }
