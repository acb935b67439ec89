package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// attribution holds the traits that caused the crashes that a host knows of.
type attribution struct {
	causes map[Key]bool
	// until is when further suspects may turn out to be causes of the crashes known
	// already, or zero if there are none.
	until time.Time
}

// attribute finds the traits that caused the crashes. All requests that ran on an upstream
// that crashed are suspects, but one of them was the cause, so the suspect with the most
// crashes is taken to be the cause, and crashes that it explains don't count against the
// others. Among suspects with as many crashes, the one that has not been harmless for
// longest comes first, then the one that covers more of a request, since that keeps out
// fewer requests.
func attribute(now time.Time, suspects map[Key]*suspect, cleared clearedCrashes) attribution {
	out := attribution{causes: map[Key]bool{}}
	e := newEvidence(suspects, cleared)
	var keys []Key
	for k, s := range suspects {
		if len(s.crashes) < s.crashLimit() {
			continue
		}
		at, enough := e.settledAt(s)
		switch {
		case !enough:
		case !now.Before(at):
			keys = append(keys, k)
		case out.until.IsZero() || at.Before(out.until):
			out.until = at
		}
	}
	slices.SortFunc(keys, func(a, b Key) int {
		x, y := suspects[a], suspects[b]
		return cmp.Or(cmp.Compare(len(y.crashes), len(x.crashes)), x.harmlessAt.Compare(y.harmlessAt), cmp.Compare(y.depth, x.depth), cmp.Compare(a, b))
	})
	explained := map[CrashID]bool{}
	for _, k := range keys {
		s := suspects[k]
		if countUnexplained(s, explained) < s.crashLimit() {
			continue
		}
		out.causes[k] = true
		for _, c := range s.crashes {
			explained[c.id] = true
		}
	}
	return out
}

// countUnexplained returns how many crashes of a suspect have no other cause.
func countUnexplained(s *suspect, explained map[CrashID]bool) int {
	n := 0
	for _, c := range s.crashes {
		if !explained[c.id] {
			n++
		}
	}
	return n
}

// valid reports whether the attribution still holds if no more is known by now.
func (a *attribution) valid(now time.Time) bool {
	return a.causes != nil && (a.until.IsZero() || now.Before(a.until))
}
