// Package broadcast decides what a host tells other hosts next, so that each change reaches all
// of them though some messages are lost. It neither sends messages nor knows what they say.
package broadcast

import (
	"cmp"
	"slices"
)

// maxSends is how often a host sends each change, so that a few lost messages don't matter.
const maxSends = 5

// Queue holds the keys of what a host tells others. Each change is sent maxSends times, those
// that were sent least often first. In between, all keys are sent again in turn, for hosts that
// started or were out of reach. It is not safe for concurrent use, except Changed.
type Queue[K cmp.Ordered] struct {
	// sent counts for each key the messages that carried its last change.
	sent map[K]int
	// cursor is the position of the last call of Reminders.
	cursor  int
	changed chan struct{}
}

// NewQueue returns an empty queue.
func NewQueue[K cmp.Ordered]() *Queue[K] {
	return &Queue[K]{sent: map[K]int{}, changed: make(chan struct{}, 1)}
}

// Changed returns a channel that signals that there are changes that were not sent yet.
func (q *Queue[K]) Changed() <-chan struct{} { return q.changed }

// Put records that what is told of a key has changed.
func (q *Queue[K]) Put(k K) {
	q.sent[k] = 0
	select {
	case q.changed <- struct{}{}:
	default:
	}
}

// PutQuietly adds a key without a change to send, since other hosts tell of it. It counts only
// among the reminders.
func (q *Queue[K]) PutQuietly(k K) { q.sent[k] = maxSends }

// Remove removes a key, of which nothing is told any more.
func (q *Queue[K]) Remove(k K) { delete(q.sent, k) }

// Unsent returns the keys whose last change was not sent yet, and counts them as sent.
func (q *Queue[K]) Unsent() []K { return q.take(1) }

// Next returns the keys whose last change was sent less than maxSends times, and counts them
// as sent.
func (q *Queue[K]) Next() []K { return q.take(maxSends) }

// take returns the keys whose last change was sent less often than a number of times.
func (q *Queue[K]) take(sends int) []K {
	var keys []K
	for k, sent := range q.sent {
		if sent < sends {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, func(a, b K) int { return cmp.Or(cmp.Compare(q.sent[a], q.sent[b]), cmp.Compare(a, b)) })
	for _, k := range keys {
		q.sent[k]++
	}
	return keys
}

// Reminders returns up to n keys, other ones with each call.
func (q *Queue[K]) Reminders(n int) []K {
	keys := make([]K, 0, len(q.sent))
	for k := range q.sent {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	var out []K
	for range min(len(keys), n) {
		q.cursor = (q.cursor + 1) % len(keys)
		out = append(out, keys[q.cursor])
	}
	return out
}
