package quarantine

import (
	"slices"
	"time"
)

// evidence is what the suspects of all crashes together tell about each of them.
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

// note records when a crash was noticed, by one of the requests on the upstream.
func (e *evidence) note(id CrashID, at time.Time) {
	if first, ok := e.noticed[id]; !ok || at.Before(first) {
		e.noticed[id] = at
	}
}

// settledAt returns from when a suspect may be the cause of its crashes, or false if they
// don't suffice. Of a part that stands out, those count that another part has been cleared
// of: until then, the cause may lie outside of the requests. Crashes that go on for long
// enough count in any case.
func (e *evidence) settledAt(s *suspect) (time.Time, bool) {
	if s.depth == contentDepth {
		return s.settledAt(e.times(s.crashes), 0)
	}
	cleared := slices.DeleteFunc(slices.Clone(s.crashes), func(c observedCrash) bool { return !e.cleared.soon(c.id) })
	if at, enough := s.settledAt(e.times(cleared), 0); enough && e.standsOut(s) {
		return at, true
	}
	return s.settledAt(e.times(s.crashes), commonPartSpan)
}

// standsOut reports whether a part explains all crashes from its first to its last, and no
// other part has all its crashes.
func (e *evidence) standsOut(s *suspect) bool { return !e.coveredByOther(s) && e.explainsAll(s) }

// explainsAll reports whether a part is suspected of all crashes from its first to its last.
func (e *evidence) explainsAll(s *suspect) bool {
	times := e.times(s.crashes)
	first, last := times[0], times[len(times)-1]
	for id, at := range e.noticed {
		if !at.Before(first) && !at.After(last) && !s.hasCrash(id) {
			return false
		}
	}
	return true
}

// times returns when crashes were first noticed, in order.
func (e *evidence) times(crashes []observedCrash) []time.Time {
	out := make([]time.Time, 0, len(crashes))
	for _, c := range crashes {
		out = append(out, e.noticed[c.id])
	}
	slices.SortFunc(out, time.Time.Compare)
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
