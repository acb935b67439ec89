// Package quarantine refuses requests that have repeatedly crashed the
// upstreams that ran them, so that they can't bring down the remaining ones.
// Hosts share the crashes that they observe.
package quarantine

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"mulberrydyke/call"
	"mulberrydyke/pool"
	"mulberrydyke/route"
)

const (
	// Duration is how long a request is refused after its second crash. It is
	// far longer than an upstream takes to restart.
	Duration = time.Minute
	// maxSharedSuspects bounds the suspects that a host sends in one message.
	maxSharedSuspects = 16
)

// Table records the content hashes of requests that were running on upstreams
// when these crashed. It is safe for concurrent use.
type Table struct {
	mu       sync.Mutex
	suspects *pool.Suspects
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{suspects: pool.NewSuspects()} }

// HashRequest returns the content hash of a request. Requests from one caller
// with the same method, host, target and body have the same hash. It is never
// zero, since zero means unknown content.
func HashRequest(r *call.Request) pool.ContentHash {
	d := xxhash.New()
	for _, field := range []string{r.APIKey, r.Method, r.Host, r.Target} {
		_, _ = d.WriteString(field)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(r.Body)
	return pool.ContentHash(d.Sum64() | 1)
}

// Empty reports whether there are no suspects. Callers then need not compute
// content hashes.
func (t *Table) Empty() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.suspects.Empty()
}

// RecordCrash records that an upstream crashed while it was running a request.
func (t *Table) RecordCrash(now time.Time, c pool.ContentHash, u *route.Upstream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	crash := pool.Crash{Upstream: u.ID, Instance: pool.Instance(u.StartedAt.UTC().Format(time.RFC3339Nano))}
	t.suspects.RecordCrash(now, c, crash, Duration)
}

// RecordFinished records that a request finished without crashing its upstream. It
// is then no longer a suspect, unless it is in quarantine.
func (t *Table) RecordFinished(now time.Time, c pool.ContentHash) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.suspects.IsSuspect(now, c) {
		t.suspects.RecordFinished(c)
	}
}

// QuarantineLeft returns how long a request stays in quarantine, or zero if it is
// not.
func (t *Table) QuarantineLeft(now time.Time, c pool.ContentHash) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.suspects.QuarantineLeft(now, c)
}

// Counts returns the number of suspects, and how many of them are in quarantine.
func (t *Table) Counts(now time.Time) (suspects, quarantined int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.suspects.List(now) {
		suspects++
		if t.suspects.QuarantineLeft(now, s.Content) > 0 {
			quarantined++
		}
	}
	return suspects, quarantined
}

// SuspectsToShare returns up to maxSharedSuspects suspects to send to other
// hosts, those in quarantine first.
func (t *Table) SuspectsToShare(now time.Time) []pool.Suspect {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.suspects.Expire(now)
	list := t.suspects.List(now)
	slices.SortStableFunc(list, func(a, b pool.Suspect) int { return len(b.Crashes) - len(a.Crashes) })
	return list[:min(maxSharedSuspects, len(list))]
}

// Merge adds the suspects reported by another host. It reports whether any
// crash was new.
func (t *Table) Merge(now time.Time, list []pool.Suspect) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.suspects.Merge(now, list, Duration)
}
