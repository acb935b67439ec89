package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// verdict holds the traits that are blamed for the crashes that a host knows of.
type verdict struct {
	blamed map[Key]bool
	// until is when further suspects can be blamed for the crashes known already, or
	// zero if there are none.
	until time.Time
}

// blame finds the traits that caused the crashes. All requests that ran on an upstream
// that crashed are suspects, but one of them was the cause, so the suspect with the most
// crashes is blamed first, and crashes that it explains don't count against the others.
// Among suspects with as many crashes, the one that has not been sound for longest comes
// first, then the one that covers more of a request, since it blames fewer requests.
func blame(now time.Time, suspects map[Key]*suspect) verdict {
	v := verdict{blamed: map[Key]bool{}}
	var keys []Key
	for k, s := range suspects {
		at, enough := s.settledAt()
		switch {
		case !enough:
		case !now.Before(at):
			keys = append(keys, k)
		case v.until.IsZero() || at.Before(v.until):
			v.until = at
		}
	}
	slices.SortFunc(keys, func(a, b Key) int {
		x, y := suspects[a], suspects[b]
		return cmp.Or(cmp.Compare(len(y.crashes), len(x.crashes)), x.soundAt.Compare(y.soundAt), cmp.Compare(y.depth, x.depth), cmp.Compare(a, b))
	})
	explained := map[CrashID]bool{}
	for _, k := range keys {
		s := suspects[k]
		if countUnexplained(s, explained) < s.crashLimit() {
			continue
		}
		v.blamed[k] = true
		for _, c := range s.crashes {
			explained[c.id] = true
		}
	}
	return v
}

// countUnexplained returns how many crashes of a suspect nothing else is blamed for.
func countUnexplained(s *suspect, explained map[CrashID]bool) int {
	n := 0
	for _, c := range s.crashes {
		if !explained[c.id] {
			n++
		}
	}
	return n
}

// valid reports whether the verdict still holds if no more is known by now.
func (v *verdict) valid(now time.Time) bool {
	return v.blamed != nil && (v.until.IsZero() || now.Before(v.until))
}
