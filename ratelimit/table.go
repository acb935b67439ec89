package ratelimit

import (
	"sync"
	"sync/atomic"
	"time"

	"mulberrydyke/broadcast"
	"mulberrydyke/route"
)

const (
	// limitTTL is how long a limit holds that no answer has confirmed.
	limitTTL = 10 * time.Minute
	// endedTTL is how long the end of a limit is remembered, so that hosts that have not
	// heard of it can't tell of the limit again.
	endedTTL = time.Minute
	// maxLimits bounds the upstreams in a table.
	maxLimits = 4096
)

// Statement is what an upstream said of its limit in one response. It said so at some time
// from SentAt to ReceivedAt.
type Statement struct {
	Key  route.ProcessKey
	Rate Rate
	// SentAt is when the request was sent, and ReceivedAt when the head of its response
	// had arrived.
	SentAt, ReceivedAt time.Time
}

// Overrules reports whether a statement replaces an earlier one: it was surely made later,
// or maybe later and has a stricter rate.
func (s Statement) Overrules(o Statement) bool {
	switch {
	case s.ReceivedAt.Before(o.SentAt):
		return false
	case !s.SentAt.Before(o.ReceivedAt):
		return true
	case s.Rate == o.Rate:
		return s.ReceivedAt.After(o.ReceivedAt)
	}
	return s.Rate.stricter(o.Rate)
}

// expired reports whether an entry no longer matters.
func (e *entry) expired(now time.Time) bool {
	return e.statement.expired(now) && !now.Before(e.pause.until)
}

// expired reports whether a statement no longer matters.
func (s Statement) expired(now time.Time) bool {
	age := now.Sub(s.ReceivedAt)
	return age > limitTTL || s.Rate == NoLimit && age > endedTTL
}

// Table holds the limits that upstreams have announced, to this host or to others. It is
// safe for concurrent use.
type Table struct {
	// size is the number of entries, which callers can read without the lock.
	size    atomic.Int64
	mu      sync.Mutex
	entries map[route.ProcessKey]*entry
	// queue holds the keys of entries, to be told other hosts.
	queue *broadcast.Queue[route.ProcessKey]
}

// entry is what is known of the limit of one upstream.
type entry struct {
	statement Statement
	// pause is the last time in which the upstream takes no requests, after it said so to a host.
	pause pause
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{entries: map[route.ProcessKey]*entry{}, queue: broadcast.NewQueue[route.ProcessKey]()}
}

// Empty reports whether no upstream has announced a limit lately.
func (t *Table) Empty() bool { return t.size.Load() == 0 }

// Record adds what an upstream said to this host. It returns the rate that was known before
// and the one that holds now.
func (t *Table) Record(now time.Time, s Statement) (before, after Rate) {
	if s.Rate == NoLimit && t.Empty() {
		return NoLimit, NoLimit
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.add(now, s)
}

// add applies a statement. t.mu must be held.
func (t *Table) add(now time.Time, s Statement) (before, after Rate) {
	e := t.entries[s.Key]
	if e != nil && e.expired(now) {
		t.remove(s.Key)
		e = nil
	}
	if e == nil {
		if s.Rate == NoLimit || s.expired(now) {
			return NoLimit, NoLimit
		}
		t.insert(now, s)
		return NoLimit, s.Rate
	}
	before = e.statement.Rate
	if s.Overrules(e.statement) {
		e.statement = s
	}
	if e.statement.Rate != before {
		t.queue.Put(s.Key)
	}
	return before, e.statement.Rate
}

// insert adds an entry, for which it makes room in a full table. t.mu must be held.
func (t *Table) insert(now time.Time, s Statement) *entry {
	if len(t.entries) >= maxLimits {
		t.expire(now)
	}
	if len(t.entries) >= maxLimits {
		t.removeOldest()
	}
	e := &entry{statement: s}
	t.entries[s.Key] = e
	t.size.Store(int64(len(t.entries)))
	t.queue.Put(s.Key)
	return e
}

// expire removes the entries that no longer matter. t.mu must be held.
func (t *Table) expire(now time.Time) {
	for k, e := range t.entries {
		if e.expired(now) {
			t.remove(k)
		}
	}
}

// removeOldest removes the entry that no answer has confirmed for longest. t.mu must be
// held.
func (t *Table) removeOldest() {
	var oldest route.ProcessKey
	for k, e := range t.entries {
		if o := t.entries[oldest]; o == nil || e.statement.ReceivedAt.Before(o.statement.ReceivedAt) {
			oldest = k
		}
	}
	t.remove(oldest)
}

// remove removes an entry. t.mu must be held.
func (t *Table) remove(k route.ProcessKey) {
	delete(t.entries, k)
	t.queue.Remove(k)
	t.size.Store(int64(len(t.entries)))
}

// Rate returns the limit of an upstream, or NoLimit.
func (t *Table) Rate(now time.Time, k route.ProcessKey) Rate {
	if t.Empty() {
		return NoLimit
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[k]
	if e == nil || e.statement.expired(now) {
		return NoLimit
	}
	return e.statement.Rate
}

// Count returns the number of upstreams with a limit.
func (t *Table) Count(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	n := 0
	for _, e := range t.entries {
		if e.statement.Rate != NoLimit {
			n++
		}
	}
	return n
}
