package ratelimit

import (
	"time"

	"mulberrydyke/route"
)

// maxPause bounds the time for which an upstream gets no requests because it said when to
// come back.
const maxPause = 30 * time.Second

// minPauseChange is by how much longer a pause has to be to be told other hosts.
const minPauseChange = 50 * time.Millisecond

// RecordPause records that an upstream takes no requests for a time, maxPause at the most.
// It reports whether that is new.
func (t *Table) RecordPause(now time.Time, k route.ProcessKey, pause time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.pause(now, k, now.Add(min(pause, maxPause)))
}

// pause records until when an upstream takes no requests, and reports whether that is new.
// t.mu must be held.
func (t *Table) pause(now time.Time, k route.ProcessKey, until time.Time) bool {
	e := t.entries[k]
	if !until.After(now) || e != nil && until.Sub(e.pausedUntil) < minPauseChange {
		return false
	}
	if e == nil {
		e = t.insert(now, Statement{Key: k, Rate: NoLimit, SentAt: now, ReceivedAt: now})
	}
	e.pausedUntil = until
	t.queue.Put(k)
	return true
}

// PausedUntil returns when an upstream takes requests again. It is not after now if it takes
// them now.
func (t *Table) PausedUntil(k route.ProcessKey) time.Time {
	if t.Empty() {
		return time.Time{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[k]; e != nil {
		return e.pausedUntil
	}
	return time.Time{}
}
