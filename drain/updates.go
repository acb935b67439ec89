package drain

import (
	"slices"
	"time"

	"mulberrydyke/route"
)

// maxBatch bounds the processes in one message, so that it fits into one frame of most
// networks.
const maxBatch = 48

// Update tells another host of a draining process. Its source is an answer of the process
// itself, to some host.
type Update struct {
	_   struct{} `cbor:",toarray"`
	Key route.ProcessKey
	// UnlistedMillis is the time since the platform last listed the process, so that two
	// hosts can't keep reminding each other of one that is gone.
	UnlistedMillis int64
}

// Valid reports whether an update that was received makes sense.
func (u *Update) Valid() bool {
	return u.Key != 0 && u.UnlistedMillis >= 0 && u.UnlistedMillis <= retention.Milliseconds()
}

// Changed returns a channel that signals that there are updates that were not sent yet.
func (t *Table) Changed() <-chan struct{} { return t.queue.Changed() }

// Unsent returns updates that were not sent yet. Each batch fits into one message.
func (t *Table) Unsent(now time.Time) [][]Update { return t.batches(now, t.queue.Unsent) }

// Next returns the updates to send next. Each batch fits into one message.
func (t *Table) Next(now time.Time) [][]Update { return t.batches(now, t.queue.Next) }

// Reminders returns updates that were sent before, others at each call, for hosts that start or
// were out of reach. They fit into one message.
func (t *Table) Reminders(now time.Time) []Update {
	batches := t.batches(now, func() []route.ProcessKey { return t.queue.Reminders(maxBatch) })
	if len(batches) == 0 {
		return nil
	}
	return batches[0]
}

// batches returns the updates on the keys that next takes from the queue.
func (t *Table) batches(now time.Time, next func() []route.ProcessKey) [][]Update {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	var out [][]Update
	for keys := range slices.Chunk(next(), maxBatch) {
		var list []Update
		for _, k := range keys {
			unlisted := t.unlisted(now, k, t.lastListed[k])
			list = append(list, Update{Key: k, UnlistedMillis: unlisted.Milliseconds()})
		}
		out = append(out, list)
	}
	return out
}
