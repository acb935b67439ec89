package broadcast

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestEachChangeIsSentSeveralTimes guards against changes that are lost with one message, and
// against old ones that hold up a new one.
func TestEachChangeIsSentSeveralTimes(t *testing.T) {
	q := NewQueue[int]()
	q.Put(2)
	q.Put(1)
	if diff := cmp.Diff([]int{1, 2}, q.Unsent()); diff != "" {
		t.Error(diff)
	}
	if got := q.Unsent(); got != nil {
		t.Errorf("sent at once again: %v", got)
	}
	q.Put(3)
	if diff := cmp.Diff([]int{3, 1, 2}, q.Next()); diff != "" {
		t.Error(diff)
	}
	for range maxSends - 2 {
		q.Next()
	}
	if diff := cmp.Diff([]int{3}, q.Next()); diff != "" {
		t.Error(diff)
	}
	if got := q.Next(); got != nil {
		t.Errorf("sent too often: %v", got)
	}
}

// TestAllKeysAreSentAgainInTurn guards against hosts that start and never hear of a key.
func TestAllKeysAreSentAgainInTurn(t *testing.T) {
	q := NewQueue[int]()
	for k := range 5 {
		q.Put(k)
	}
	q.Remove(4)
	q.PutQuietly(3)
	if diff := cmp.Diff([]int{0, 1, 2}, q.Unsent()); diff != "" {
		t.Error(diff)
	}
	seen := map[int]int{}
	for range 4 {
		for _, k := range q.Reminders(2) {
			seen[k]++
		}
	}
	if diff := cmp.Diff(map[int]int{0: 2, 1: 2, 2: 2, 3: 2}, seen); diff != "" {
		t.Error(diff)
	}
}
