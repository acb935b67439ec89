package ratelimit

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxSends is how often a host sends each change, so that a few lost messages don't
	// matter.
	maxSends = 5
	// maxBatch bounds the limits in one message, so that it fits into one frame of most
	// networks.
	maxBatch = 32
	// maxTransit is the time that a message may take between two hosts. A limit that is
	// passed on counts from that much earlier, so that it can't lift one that a host was
	// told meanwhile.
	maxTransit = 100 * time.Millisecond
)

// Update is what a host tells others of the limit of an upstream.
type Update struct {
	_   struct{} `cbor:",toarray"`
	Key Key
	// Rate is NoLimit if the upstream has ended its limit.
	Rate Rate
	// SentAgeMillis and ReceivedAgeMillis are the ages of the times of the Statement.
	SentAgeMillis, ReceivedAgeMillis int64
	// PauseMillis is the time for which the upstream takes no requests, or zero.
	PauseMillis int64
}

// Valid reports whether an update that was received makes sense.
func (u *Update) Valid() bool {
	if u.Rate != NoLimit {
		if rate, err := NewRate(float64(u.Rate)); err != nil || rate != u.Rate {
			return false
		}
	}
	if u.PauseMillis < 0 || u.PauseMillis > maxPause.Milliseconds() {
		return false
	}
	return u.Key != 0 && u.ReceivedAgeMillis >= 0 && u.SentAgeMillis >= u.ReceivedAgeMillis && u.SentAgeMillis <= limitTTL.Milliseconds()*2
}

// statement returns what the update tells, as if this host had heard it itself.
func (u *Update) statement(now time.Time) Statement {
	return Statement{
		Key: u.Key, Rate: u.Rate,
		SentAt:     now.Add(-time.Duration(u.SentAgeMillis)*time.Millisecond - maxTransit),
		ReceivedAt: now.Add(-time.Duration(u.ReceivedAgeMillis) * time.Millisecond),
	}
}

// newUpdate returns the update that tells what an entry holds.
func newUpdate(now time.Time, e *entry) Update {
	s := e.statement
	received := max(0, now.Sub(s.ReceivedAt)).Milliseconds()
	sent := max(received, (now.Sub(s.SentAt) + time.Millisecond - 1).Milliseconds())
	return Update{Key: s.Key, Rate: s.Rate, SentAgeMillis: sent, ReceivedAgeMillis: received, PauseMillis: max(0, e.pausedUntil.Sub(now)).Milliseconds()}
}

// Changed returns a channel that signals that there are updates that were not sent yet.
func (t *Table) Changed() <-chan struct{} { return t.changed }

// noteChange marks an entry whose rate has changed to be sent. t.mu must be held.
func (t *Table) noteChange(e *entry) {
	e.sent = 0
	select {
	case t.changed <- struct{}{}:
	default:
	}
}

// Merge adds what another host tells. It reports whether any rate or pause changed.
func (t *Table) Merge(now time.Time, list []Update) bool {
	if len(list) == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := false
	for i := range list {
		if before, after := t.add(now, list[i].statement(now)); before != after {
			changed = true
		}
		until := now.Add(time.Duration(list[i].PauseMillis) * time.Millisecond)
		changed = t.pause(now, list[i].Key, until) || changed
	}
	return changed
}

// Unsent returns changes that were not sent yet. Each batch fits into one message.
func (t *Table) Unsent(now time.Time) [][]Update {
	return t.take(now, func(e *entry) bool { return e.sent == 0 })
}

// Next returns the changes to send next: those that were sent fewer than maxSends times,
// the least sent first. Each batch fits into one message.
func (t *Table) Next(now time.Time) [][]Update {
	return t.take(now, func(e *entry) bool { return e.sent < maxSends })
}

// take returns the updates on matching entries, and counts that they are sent.
func (t *Table) take(now time.Time, match func(*entry) bool) [][]Update {
	if t.Empty() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	var matching []*entry
	for _, e := range t.entries {
		if match(e) {
			matching = append(matching, e)
		}
	}
	slices.SortFunc(matching, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(a.statement.Key, b.statement.Key))
	})
	var out [][]Update
	for batch := range slices.Chunk(matching, maxBatch) {
		var list []Update
		for _, e := range batch {
			e.sent++
			list = append(list, newUpdate(now, e))
		}
		out = append(out, list)
	}
	return out
}

// Reminders returns some entries, others at each call, for hosts that start or were out of
// reach. They fit into one message.
func (t *Table) Reminders(now time.Time) []Update {
	if t.Empty() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	keys := make([]Key, 0, len(t.entries))
	for k := range t.entries {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	var out []Update
	for range min(len(keys), maxBatch) {
		t.cursor = (t.cursor + 1) % len(keys)
		out = append(out, newUpdate(now, t.entries[keys[t.cursor]]))
	}
	return out
}
