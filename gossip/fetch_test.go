package gossip

import (
	"testing"
	"time"

	"mulberrydyke/plan"
	"mulberrydyke/route"
)

// countingLists counts the snapshots that are taken of it.
type countingLists struct {
	fakeLists
	snapshots int
}

func (l *countingLists) Snapshot(since route.Position, table plan.Version) ([]byte, error) {
	l.snapshots++
	return l.fakeLists.Snapshot(since, table)
}

// TestReplyIsNotSentForLong guards against replies that are sent again after the grace
// periods in them have ended: a host that got one kept an upstream for a whole grace
// period more.
func TestReplyIsNotSentForLong(t *testing.T) {
	lists, now := &countingLists{}, start
	s := &listsService{lists: lists, now: func() time.Time { return now }}
	for _, step := range []struct {
		after time.Duration
		want  int
	}{{0, 1}, {replyLifetime - time.Millisecond, 1}, {replyLifetime, 2}, {replyLifetime + time.Millisecond, 2}} {
		now = start.Add(step.after)
		if err := s.Fetch(FetchRequest{}, &FetchReply{}); err != nil {
			t.Fatal(err)
		}
		if lists.snapshots != step.want {
			t.Errorf("after %v: %d snapshots, want %d", step.after, lists.snapshots, step.want)
		}
	}
}
