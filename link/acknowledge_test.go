package link

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var start = time.Date(2026, 3, 1, 9, 0, 0, 0, time.UTC)

// TestAckWatch checks that an upstream counts as gone after ackTimeout without any
// acknowledgement, and not while it acknowledges that it has no room.
func TestAckWatch(t *testing.T) {
	const step = 100 * time.Millisecond
	for name, test := range map[string]struct {
		// at returns the state of the connection at a time after the start of the body.
		at    func(after time.Duration) sendState
		began time.Time
		// want is the first verdict other than ackInTime within 3 s, and when it comes.
		want   ackVerdict
		wantAt time.Duration
	}{
		"gone from the start, on a connection that was idle": {
			at: func(after time.Duration) sendState {
				return sendState{unacked: 4, unsent: 9000, sinceAck: 10*time.Second + after}
			},
			want: ackOverdue, wantAt: ackTimeout,
		},
		"gone later": {
			at: func(after time.Duration) sendState {
				return sendState{unacked: 4, unsent: 9000, sinceAck: max(step/2, after-time.Second)}
			},
			want: ackOverdue, wantAt: time.Second + ackTimeout,
		},
		"slow, and acknowledges": {
			at: func(time.Duration) sendState {
				return sendState{unacked: 4, unsent: 9000, sinceAck: 300 * time.Millisecond}
			},
			want: ackInTime,
		},
		"without room, and acknowledges probes": {
			at:   func(time.Duration) sendState { return sendState{unsent: 9000, sinceAck: 400 * time.Millisecond} },
			want: ackInTime,
		},
		"without room, and one probe is not answered": {
			at: func(after time.Duration) sendState {
				return sendState{unsent: 9000, probes: 1, sinceAck: min(after, 700*time.Millisecond)}
			},
			want: ackInTime,
		},
		"without room, and no probe is answered": {
			at: func(after time.Duration) sendState {
				return sendState{unsent: 9000, probes: min(2, uint8(after/(300*time.Millisecond))), sinceAck: after}
			},
			want: ackOverdue, wantAt: ackTimeout,
		},
		"without room, between two probes": {
			at:   func(after time.Duration) sendState { return sendState{unsent: 9000, sinceAck: after} },
			want: ackUnknown, wantAt: ackTimeout,
		},
		"all acknowledged": {
			at:   func(after time.Duration) sendState { return sendState{sinceAck: after} },
			want: ackInTime,
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := ackWatch{awaitedSince: start}
			got, gotAt := ackInTime, time.Duration(0)
			for after := time.Duration(0); after <= 3*time.Second && got == ackInTime; after += step {
				got, gotAt = w.update(start.Add(after), test.at(after)), after
			}
			if got == ackInTime {
				gotAt = 0
			}
			if diff := cmp.Diff([]any{test.want, test.wantAt}, []any{got, gotAt}); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestAckWatchChecksAFullWindowOnceInATime checks that new connections that find out
// whether an upstream is there are opened no more often than each ackTimeout.
func TestAckWatchChecksAFullWindowOnceInATime(t *testing.T) {
	var w ackWatch
	checks := 0
	for after := time.Duration(0); after < 10*ackTimeout; after += 100 * time.Millisecond {
		if w.update(start.Add(after), sendState{unsent: 9000, sinceAck: after}) == ackUnknown {
			checks++
		}
	}
	if checks == 0 || checks > 9 {
		t.Errorf("%d checks", checks)
	}
}
