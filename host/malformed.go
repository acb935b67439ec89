package host

import (
	"log/slog"
	"sync"
	"time"

	"mulberrydyke/answer"
	"mulberrydyke/metric"
	"mulberrydyke/plan"
)

// malformedLogInterval is the least time between two log lines on malformed responses.
const malformedLogInterval = time.Second

// malformedRecorder counts the responses of upstreams whose heads are malformed, and logs a few of them.
type malformedRecorder struct {
	log     *slog.Logger
	metrics *metric.Set
	// mu guards the fields below.
	mu       sync.Mutex
	loggedAt time.Time
	// unlogged is how many were not logged since loggedAt.
	unlogged int
}

// record counts a response, and logs it if none was logged for malformedLogInterval.
func (r *malformedRecorder) record(now time.Time, id plan.UpstreamID, err *answer.MalformedError) {
	r.metrics.RecordMalformedResponse(err.Reason)
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.loggedAt) < malformedLogInterval {
		r.unlogged++
		return
	}
	r.log.Warn("malformed response", "upstream", string(id), "reason", string(err.Reason), "line", err.Line, "unlogged", r.unlogged)
	r.loggedAt, r.unlogged = now, 0
}
