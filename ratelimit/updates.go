package ratelimit

import (
	"slices"
	"time"

	"mulberrydyke/route"
)

const (
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
	Key route.ProcessKey
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
	if u.PauseMillis < 0 || u.PauseMillis > maxToldPause.Milliseconds() {
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
	return Update{Key: s.Key, Rate: s.Rate, SentAgeMillis: sent, ReceivedAgeMillis: received, PauseMillis: max(0, e.pause.toldUntil.Sub(now)).Milliseconds()}
}

// Changed returns a channel that signals that there are updates that were not sent yet.
func (t *Table) Changed() <-chan struct{} { return t.queue.Changed() }

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
		changed = t.mergePause(now, list[i].Key, time.Duration(list[i].PauseMillis)*time.Millisecond) || changed
	}
	return changed
}

// Unsent returns changes that were not sent yet. Each batch fits into one message.
func (t *Table) Unsent(now time.Time) [][]Update { return t.updates(now, t.queue.Unsent) }

// Next returns the changes to send next. Each batch fits into one message.
func (t *Table) Next(now time.Time) [][]Update { return t.updates(now, t.queue.Next) }

// updates returns the updates on the keys that next returns.
func (t *Table) updates(now time.Time, next func() []route.ProcessKey) [][]Update {
	if t.Empty() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	var out [][]Update
	for batch := range slices.Chunk(next(), maxBatch) {
		out = append(out, t.batch(now, batch))
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
	return t.batch(now, t.queue.Reminders(maxBatch))
}

// batch returns the updates on some keys. t.mu must be held.
func (t *Table) batch(now time.Time, keys []route.ProcessKey) []Update {
	var out []Update
	for _, k := range keys {
		out = append(out, newUpdate(now, t.entries[k]))
	}
	return out
}
