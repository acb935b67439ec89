package pool

import (
	"cmp"
	"slices"
	"time"

	"mulberrydyke/plan"
)

const (
	// crashLimit is the number of crashes after which content is quarantined.
	crashLimit = 2
	// maxSuspects bounds the table of suspects.
	maxSuspects = 4096
	// maxProven bounds one of the two generations of proven content.
	maxProven = 4096
	// suspectTTL is how long content stays a suspect without a second crash.
	suspectTTL = 10 * time.Minute
	// minTimeLeft is the time for which a suspect must still be kept to be taken over
	// from another host.
	minTimeLeft = 2 * time.Second
)

// Crash identifies a crash of one instance of an upstream's process.
type Crash struct {
	Upstream plan.UpstreamID `json:"upstream"`
	Instance Instance        `json:"instance"`
}

// Suspect is content that was running on upstreams when they crashed.
type Suspect struct {
	Content ContentHash `json:"content"`
	// Crashes holds at most two crashes, without duplicates.
	Crashes []Crash `json:"crashes"`
	// Left is the time until the entry expires.
	Left time.Duration `json:"left"`
}

// suspectEntry is the entry of one content hash in the table of suspects.
type suspectEntry struct {
	crashes []Crash
	expires time.Time
}

// Suspects is a table of upstream crashes by the content of the requests that
// were running at the time. It bounds the number of upstreams that one request
// can crash.
type Suspects struct {
	byContent map[ContentHash]*suspectEntry
	// proven and olderProven are two generations of content that finished at
	// least once. The older generation is dropped when the newer one is full.
	proven, olderProven map[ContentHash]bool
	// changed is set if a crash was added since the last call of TakeChanged.
	changed bool
}

// NewSuspects returns an empty table.
func NewSuspects() *Suspects {
	return &Suspects{byContent: map[ContentHash]*suspectEntry{}, proven: map[ContentHash]bool{}}
}

// Empty reports whether the table has no suspects.
func (s *Suspects) Empty() bool { return len(s.byContent) == 0 }

// RecordCrash records that content was running when an upstream crashed. A second
// crash quarantines the content for the given time.
func (s *Suspects) RecordCrash(now time.Time, content ContentHash, crash Crash, quarantine time.Duration) {
	s.record(now, content, crash, suspectTTL, quarantine)
}

// record adds a crash. A first crash expires after ttl, a second one after
// quarantine.
func (s *Suspects) record(now time.Time, content ContentHash, crash Crash, ttl, quarantine time.Duration) {
	if content == 0 {
		return
	}
	entry := s.byContent[content]
	if entry == nil {
		if len(s.byContent) >= maxSuspects {
			s.makeRoom()
		}
		entry = &suspectEntry{expires: now.Add(ttl)}
		s.byContent[content] = entry
	}
	if slices.Contains(entry.crashes, crash) || len(entry.crashes) >= crashLimit {
		return
	}
	entry.crashes = append(entry.crashes, crash)
	s.changed = true
	delete(s.proven, content)
	delete(s.olderProven, content)
	if len(entry.crashes) >= crashLimit {
		entry.expires = now.Add(quarantine)
	}
}

// makeRoom removes the suspect that expires first, of those with the fewest crashes.
func (s *Suspects) makeRoom() {
	var first ContentHash
	for content, entry := range s.byContent {
		o := s.byContent[first]
		if o == nil || len(entry.crashes) < len(o.crashes) || len(entry.crashes) == len(o.crashes) && entry.expires.Before(o.expires) {
			first = content
		}
	}
	delete(s.byContent, first)
}

// Merge adds the suspects of another host. They expire no later than they do
// there. Those that are about to expire are left out, or hosts could go on telling them
// each other. Merge reports whether any crash was new.
func (s *Suspects) Merge(now time.Time, other []Suspect, quarantine time.Duration) bool {
	before := s.changed
	s.changed = false
	for _, o := range other {
		if o.Left < minTimeLeft {
			continue
		}
		for _, c := range o.Crashes {
			s.record(now, o.Content, c, min(suspectTTL, o.Left), min(quarantine, o.Left))
		}
	}
	added := s.changed
	s.changed = before
	return added
}

// RecordFinished records that content finished without crashing its upstream. It
// removes the content from the suspects unless it is quarantined.
func (s *Suspects) RecordFinished(content ContentHash) {
	if content == 0 {
		return
	}
	if entry := s.byContent[content]; entry != nil && len(entry.crashes) < crashLimit {
		delete(s.byContent, content)
	}
	s.proven[content] = true
	if len(s.proven) >= maxProven {
		s.olderProven = s.proven
		s.proven = make(map[ContentHash]bool, maxProven)
	}
}

// IsSuspect reports whether content was running on an upstream that crashed.
func (s *Suspects) IsSuspect(now time.Time, content ContentHash) bool {
	entry := s.byContent[content]
	return entry != nil && now.Before(entry.expires)
}

// CrashCount returns the number of recorded crashes of upstreams that were
// running content.
func (s *Suspects) CrashCount(content ContentHash) int {
	if entry := s.byContent[content]; entry != nil {
		return len(entry.crashes)
	}
	return 0
}

// IsProven reports whether content has finished before.
func (s *Suspects) IsProven(content ContentHash) bool {
	return s.proven[content] || s.olderProven[content]
}

// QuarantineLeft returns how long content stays quarantined, or zero if it is
// not.
func (s *Suspects) QuarantineLeft(now time.Time, content ContentHash) time.Duration {
	entry := s.byContent[content]
	if entry == nil || len(entry.crashes) < crashLimit || !now.Before(entry.expires) {
		return 0
	}
	return entry.expires.Sub(now)
}

// Expire deletes expired entries.
func (s *Suspects) Expire(now time.Time) {
	for content, entry := range s.byContent {
		if !now.Before(entry.expires) {
			delete(s.byContent, content)
		}
	}
}

// List returns the suspects that have not expired, ordered by content, in the
// form that is sent to other hosts.
func (s *Suspects) List(now time.Time) []Suspect {
	out := make([]Suspect, 0, len(s.byContent))
	for content, entry := range s.byContent {
		if now.Before(entry.expires) {
			out = append(out, Suspect{Content: content, Crashes: slices.Clone(entry.crashes), Left: entry.expires.Sub(now)})
		}
	}
	slices.SortFunc(out, func(a, b Suspect) int {
		switch {
		case a.Content < b.Content:
			return -1
		case a.Content > b.Content:
			return 1
		}
		return 0
	})
	return out
}

// MostSuspect returns up to n suspects of a list: those with the most crashes, and of
// these the ones that expire last, since they are the newest.
func MostSuspect(list []Suspect, n int) []Suspect {
	if len(list) <= n {
		return list
	}
	list = slices.Clone(list)
	slices.SortFunc(list, func(a, b Suspect) int {
		return cmp.Or(cmp.Compare(len(b.Crashes), len(a.Crashes)), cmp.Compare(b.Left, a.Left))
	})
	return list[:n]
}

// TakeChanged reports whether a crash was added since the last call.
func (s *Suspects) TakeChanged() bool {
	changed := s.changed
	s.changed = false
	return changed
}
