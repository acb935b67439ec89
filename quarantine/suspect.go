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
	// newPartSettleTime is how long after the crash that reaches the limit a part is not
	// yet blamed, so that other hosts' news of the same crashes are heard first. It is
	// usedPartSettleTime for a part that was sound before, so that answers with it on
	// other upstreams can clear it.
	newPartSettleTime  = 100 * time.Millisecond
	usedPartSettleTime = time.Second
	// maxCrashes bounds the crashes that are kept of a suspect.
	maxCrashes = 12
	// suspectTTL is how long a suspect is kept after its last crash.
	suspectTTL = 20 * time.Minute
	// soundTTL is how long a suspect is kept whose crashes no longer count, so that
	// hosts that have not heard so can't tell of them again.
	soundTTL = time.Minute
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
	// crashes holds up to maxCrashes crashes after soundAt, ordered by time, without
	// duplicates.
	crashes []observedCrash
	// soundAt is when a request with the trait last did not crash its upstream, or zero.
	// A trait that crashes upstreams crashes each of them, so that the crashes before
	// had another cause.
	soundAt time.Time
	news    news
}

// crashLimit returns the number of crashes from which requests are refused.
func (s *suspect) crashLimit() int {
	if s.depth == contentDepth {
		return contentCrashLimit
	}
	return partCrashLimit
}

// settledAt returns from when the suspect may be blamed for its crashes, or false if
// there are too few.
func (s *suspect) settledAt() (time.Time, bool) {
	limit := s.crashLimit()
	if len(s.crashes) < limit {
		return time.Time{}, false
	}
	at := s.crashes[limit-1].at
	switch {
	case s.depth == contentDepth:
		return at, true
	case s.soundAt.IsZero():
		return at.Add(newPartSettleTime), true
	}
	return at.Add(usedPartSettleTime), true
}

// quarantineEnd returns when the first host may try a request again. There must be
// enough crashes for a quarantine.
func (s *suspect) quarantineEnd() time.Time {
	n := len(s.crashes)
	return s.crashes[n-1].at.Add(time.Duration(n-s.crashLimit()+1) * Duration)
}

// expires returns when the suspect is forgotten.
func (s *suspect) expires() time.Time {
	if n := len(s.crashes); n > 0 {
		return s.crashes[n-1].at.Add(suspectTTL)
	}
	return s.soundAt.Add(soundTTL)
}

// addCrash adds a crash. It reports whether that is new and counts.
func (s *suspect) addCrash(c observedCrash) bool {
	known := slices.ContainsFunc(s.crashes, func(o observedCrash) bool { return o.id == c.id })
	late := len(s.crashes) >= maxCrashes && !c.at.After(s.crashes[0].at)
	if known || late || !c.at.After(s.soundAt) {
		return false
	}
	s.crashes = append(s.crashes, c)
	slices.SortFunc(s.crashes, func(a, b observedCrash) int { return a.at.Compare(b.at) })
	s.crashes = s.crashes[max(0, len(s.crashes)-maxCrashes):]
	return true
}

// clear records that a request with the trait did not crash its upstream. It reports
// whether crashes no longer count because of that.
func (s *suspect) clear(at time.Time) bool {
	if !at.After(s.soundAt) {
		return false
	}
	s.soundAt = at
	before := len(s.crashes)
	s.crashes = slices.DeleteFunc(s.crashes, func(c observedCrash) bool { return !c.at.After(at) })
	return len(s.crashes) < before
}
