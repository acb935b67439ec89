// Package quarantine keeps a request that crashes each upstream that runs it
// away from the upstreams that are left. Hosts tell each other what they saw.
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
	// Span is how long a content is refused after its second crash. It is far
	// longer than an upstream takes to start again.
	Span = time.Minute
	// toldMost bounds the suspects that one host tells another at a time.
	toldMost = 16
)

// Table knows the contents that were running on upstreams that crashed. It is
// safe for concurrent use.
type Table struct {
	mu       sync.Mutex
	suspects *pool.Suspects
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{suspects: pool.NewSuspects()} }

// ContentOf returns the content of a request. Requests of one caller with the
// same path and body have the same content.
func ContentOf(r *call.Request) pool.ContentHash {
	d := xxhash.New()
	for _, text := range []string{r.Key, r.Method, r.Host, r.Target} {
		_, _ = d.WriteString(text)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(r.Body)
	return pool.ContentHash(d.Sum64() | 1)
}

// Empty says that nothing is suspected, so that no content has to be computed.
func (t *Table) Empty() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.suspects.Empty()
}

// Crashed records that an upstream crashed while it ran a content.
func (t *Table) Crashed(now time.Time, c pool.ContentHash, u *route.Upstream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	crash := pool.Crash{Upstream: u.ID, Instance: pool.Instance(u.Born.UTC().Format(time.RFC3339Nano))}
	t.suspects.RecordCrash(now, c, crash, Span)
}

// Finished records that an upstream ran a content to its end.
func (t *Table) Finished(now time.Time, c pool.ContentHash) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.suspects.IsSuspect(now, c) {
		t.suspects.RecordFinished(c)
	}
}

// Left returns how long a content is still refused, or zero.
func (t *Table) Left(now time.Time, c pool.ContentHash) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.suspects.QuarantineLeft(now, c)
}

// Told returns what other hosts should know, those that are refused first.
func (t *Table) Told(now time.Time) []pool.Suspect {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.suspects.Expire(now)
	list := t.suspects.List(now)
	slices.SortStableFunc(list, func(a, b pool.Suspect) int { return len(b.Crashes) - len(a.Crashes) })
	return list[:min(toldMost, len(list))]
}

// Learn takes up what another host saw. It says whether anything was new.
func (t *Table) Learn(now time.Time, list []pool.Suspect) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.suspects.Merge(now, list, Span)
}
