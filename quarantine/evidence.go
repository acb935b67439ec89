package quarantine

import (
	"slices"
	"time"
)

// evidence is what the crashes of all suspects say about each suspect.
type evidence struct {
	// noticed is when each crash was first noticed. Requests on the same upstream may
	// notice its crash one after the other.
	noticed map[CrashID]time.Time
	// parts holds the parts of prompts that are suspected of each crash.
	parts   map[CrashID][]*suspect
	cleared clearedCrashes
}

func newEvidence(suspects map[Key]*suspect, cleared clearedCrashes) *evidence {
	e := &evidence{noticed: map[CrashID]time.Time{}, parts: map[CrashID][]*suspect{}, cleared: cleared}
	for _, s := range suspects {
		for _, c := range s.crashes {
			e.note(c.id, c.at)
			if s.depth != contentDepth {
				e.parts[c.id] = append(e.parts[c.id], s)
			}
		}
	}
	for _, generation := range []map[CrashID]clearedCrash{cleared.older, cleared.recent} {
		for id, c := range generation {
			e.note(id, c.at)
		}
	}
	return e
}

// note keeps the earliest time at which a request on the upstream noticed its crash.
func (e *evidence) note(id CrashID, at time.Time) {
	if first, ok := e.noticed[id]; !ok || at.Before(first) {
		e.noticed[id] = at
	}
}

// noticedCrash is a crash of a suspect.
type noticedCrash struct {
	at time.Time
	// cleared is set if a part was cleared of it soon after.
	cleared bool
}

// settledAt returns from when a suspect may be the cause of its crashes, or false if they
// don't suffice. For a part that stands out, another part must have been cleared of those
// before the last: until then, the cause may lie outside of the requests. Crashes that go on
// for long enough count in any case.
func (e *evidence) settledAt(s *suspect) (time.Time, bool) {
	crashes := e.crashes(s)
	if s.depth == contentDepth {
		return s.settledAt(crashes, false, 0)
	}
	if at, enough := s.settledAt(crashes, true, 0); enough && e.standsOut(s) {
		return at, true
	}
	return s.settledAt(crashes, false, commonPartSpan)
}

// standsOut reports whether a part explains all crashes from its first to its last, and no
// other part has all its crashes.
func (e *evidence) standsOut(s *suspect) bool { return !e.coveredByOther(s) && e.explainsAll(s) }

// explainsAll reports whether a part is suspected of all crashes from its first to its last.
func (e *evidence) explainsAll(s *suspect) bool {
	crashes := e.crashes(s)
	first, last := crashes[0].at, crashes[len(crashes)-1].at
	for id, at := range e.noticed {
		if !at.Before(first) && !at.After(last) && !s.hasCrash(id) {
			return false
		}
	}
	return true
}

// crashes returns the crashes of a suspect in the order in which they were first noticed.
func (e *evidence) crashes(s *suspect) []noticedCrash {
	out := make([]noticedCrash, 0, len(s.crashes))
	for _, c := range s.crashes {
		out = append(out, noticedCrash{at: e.noticed[c.id], cleared: e.cleared.soon(c.id)})
	}
	slices.SortFunc(out, func(a, b noticedCrash) int { return a.at.Compare(b.at) })
	return out
}

// coveredByOther reports whether another part is suspected of all crashes of a part.
func (e *evidence) coveredByOther(s *suspect) bool {
	var others []*suspect
	for i, c := range s.crashes {
		if parts := e.parts[c.id]; i == 0 || len(parts) < len(others) {
			others = parts
		}
	}
	return slices.ContainsFunc(others, func(o *suspect) bool { return o != s && o.covers(s) })
}
