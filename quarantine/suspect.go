package quarantine

import (
	"slices"
	"time"

	"mulberrydyke/route"
)

const (
	// contentCrashLimit and partCrashLimit are the numbers of crashes from which
	// requests are refused for their content, or for a part of their prompts. A part
	// may have been on several upstreams that crashed for another reason.
	contentCrashLimit = 2
	partCrashLimit    = 3
	// newPartGap is the time between two crashes that both count towards the limit of a
	// part. Upstreams that end together had another cause, while a part crashes one after
	// the other. It is usedPartGap for a part that was harmless before, so that answers with
	// it on other upstreams can clear it.
	newPartGap  = 200 * time.Millisecond
	usedPartGap = 500 * time.Millisecond
	// commonPartSpan is the least time from the first to the last crash of a part that does
	// not stand out among the suspects. Upstreams that end for another reason may do so
	// over a second, and answers with the part take as long to clear it.
	commonPartSpan = 1500 * time.Millisecond
	// settleTime is how long after the crash that reaches the limit a part is not yet
	// taken to be the cause, so that updates on the same crashes are received first.
	settleTime = 100 * time.Millisecond
	// maxCrashes bounds the crashes that are kept of a suspect.
	maxCrashes = 12
	// suspectTTL is how long a suspect is kept after its last crash.
	suspectTTL = 20 * time.Minute
	// harmlessTTL is how long a suspect is kept whose crashes no longer count, so that
	// hosts that have not heard so can't tell of them again.
	harmlessTTL = time.Minute
)

// CrashID identifies the crash of one process of an upstream by a hash.
type CrashID uint64

// crashOf returns the ID of the crash of an upstream's present process.
func crashOf(u *route.Upstream) CrashID {
	return CrashID(route.Hash(string(u.ID), u.StartedAt.UTC().Format(time.RFC3339Nano)))
}

// observedCrash is a crash and when it happened.
type observedCrash struct {
	id CrashID
	at time.Time
}

// suspect is what a host knows of a trait of requests that were running on upstreams when
// these crashed.
type suspect struct {
	depth Depth
	// crashes holds up to maxCrashes crashes after harmlessAt, ordered by time, without
	// duplicates. They span at most suspectTTL.
	crashes []observedCrash
	// harmlessAt is when the last request with the trait began that did not crash its
	// upstream, or zero. A trait that crashes upstreams crashes each of them, so that
	// the crashes before had another cause.
	harmlessAt time.Time
	update     update
}

// crashLimit returns the number of crashes, gap apart, from which requests are refused.
func (s *suspect) crashLimit() int {
	if s.depth == contentDepth {
		return contentCrashLimit
	}
	return partCrashLimit
}

// gap returns the time between two crashes that both count towards crashLimit.
func (s *suspect) gap() time.Duration {
	switch {
	case s.depth == contentDepth:
		return 0
	case s.harmlessAt.IsZero():
		return newPartGap
	}
	return usedPartGap
}

// settledAt returns from when the suspect may be the cause of the given crashes, in order, or
// false if too few of them are gap apart or they lie within less than span. With onlyCleared,
// all that count but the last must be ones that another part was cleared of.
func (s *suspect) settledAt(crashes []noticedCrash, onlyCleared bool, span time.Duration) (time.Time, bool) {
	counted := 0
	var last time.Time
	for _, c := range crashes {
		if counted > 0 && c.at.Sub(last) < s.gap() {
			continue
		}
		if onlyCleared && !c.cleared && counted < s.crashLimit()-1 {
			continue
		}
		counted, last = counted+1, c.at
		if counted < s.crashLimit() || c.at.Sub(crashes[0].at) < span {
			continue
		}
		if s.depth == contentDepth {
			return last, true
		}
		return last.Add(settleTime), true
	}
	return time.Time{}, false
}

// quarantineEnd returns when the first host may try a request again. Content that goes on
// crashing upstreams is tried ever more seldom. Parts are not: they keep out many
// requests, which can be served again once the upstreams are mended.
func (s *suspect) quarantineEnd() time.Time {
	n, times := len(s.crashes), 1
	if s.depth == contentDepth {
		times = n - contentCrashLimit + 1
	}
	return s.crashes[n-1].at.Add(time.Duration(times) * Duration)
}

// expires returns when the suspect is forgotten.
func (s *suspect) expires() time.Time {
	if n := len(s.crashes); n > 0 {
		return s.crashes[n-1].at.Add(suspectTTL)
	}
	return s.harmlessAt.Add(harmlessTTL)
}

// addCrash adds a crash. It reports whether that is new and counts.
func (s *suspect) addCrash(c observedCrash) bool {
	late := len(s.crashes) >= maxCrashes && !c.at.After(s.crashes[0].at)
	if s.hasCrash(c.id) || late || !c.at.After(s.harmlessAt) {
		return false
	}
	s.crashes = append(s.crashes, c)
	slices.SortFunc(s.crashes, func(a, b observedCrash) int { return a.at.Compare(b.at) })
	s.crashes = s.crashes[max(0, len(s.crashes)-maxCrashes):]
	oldest := s.crashes[len(s.crashes)-1].at.Add(-suspectTTL)
	s.crashes = slices.DeleteFunc(s.crashes, func(o observedCrash) bool { return o.at.Before(oldest) })
	return true
}

// clear records that a request with the trait that began at the given time did not crash
// its upstream. It returns the crashes that no longer count because of that.
func (s *suspect) clear(at time.Time) []observedCrash {
	if !at.After(s.harmlessAt) {
		return nil
	}
	s.harmlessAt = at
	var cleared []observedCrash
	s.crashes = slices.DeleteFunc(s.crashes, func(c observedCrash) bool {
		counts := c.at.After(at)
		if !counts {
			cleared = append(cleared, c)
		}
		return !counts
	})
	return cleared
}

// hasCrash reports whether the suspect was running on an upstream when it crashed.
func (s *suspect) hasCrash(id CrashID) bool {
	return slices.ContainsFunc(s.crashes, func(c observedCrash) bool { return c.id == id })
}

// covers reports whether the suspect has all crashes of another.
func (s *suspect) covers(other *suspect) bool {
	return !slices.ContainsFunc(other.crashes, func(c observedCrash) bool { return !s.hasCrash(c.id) })
}
