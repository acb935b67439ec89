package pool

import (
	"slices"
	"time"

	"mulberrydyke/plan"
)

const (
	// crashLimit is the number of crashes after which a request is quarantined.
	crashLimit = 2
	// suspectMost bounds the table of suspects.
	suspectMost = 4096
	// provenMost bounds one generation of contents that finished once.
	provenMost = 4096
	// suspectLife is how long a suspicion without a second crash lasts.
	suspectLife = 10 * time.Minute
)

// Crash is one death of one upstream's process.
type Crash struct {
	Upstream plan.UpstreamID `json:"upstream"`
	Instance Instance        `json:"instance"`
}

// Suspect is a content that was running on upstreams that crashed.
type Suspect struct {
	Content ContentHash `json:"content"`
	// Crashes are distinct and at most two.
	Crashes []Crash `json:"crashes"`
	// Left is how long the entry still counts.
	Left time.Duration `json:"left"`
}

type suspicion struct {
	crashes []Crash
	until   time.Time
}

// Suspects counts crashes by content of the requests that were running then.
// It bounds the number of upstreams that one request can bring down.
type Suspects struct {
	byContent map[ContentHash]*suspicion
	// proven and older hold contents that finished at least once.
	proven, older map[ContentHash]bool
	// changed says that there is something to tell other hosts.
	changed bool
}

// NewSuspects returns an empty table.
func NewSuspects() *Suspects {
	return &Suspects{byContent: map[ContentHash]*suspicion{}, proven: map[ContentHash]bool{}}
}

// Empty says that nothing is suspected.
func (s *Suspects) Empty() bool { return len(s.byContent) == 0 }

// RecordCrash records that content was running when an upstream crashed. A second
// crash quarantines it for the given span.
func (s *Suspects) RecordCrash(now time.Time, content ContentHash, crash Crash, quarantine time.Duration) {
	s.record(now, content, crash, suspectLife, quarantine)
}

// record adds a crash. Life is how long a first one counts.
func (s *Suspects) record(now time.Time, content ContentHash, crash Crash, life, quarantine time.Duration) {
	if content == 0 {
		return
	}
	entry := s.byContent[content]
	if entry == nil {
		if len(s.byContent) >= suspectMost {
			return
		}
		entry = &suspicion{until: now.Add(life)}
		s.byContent[content] = entry
	}
	if slices.Contains(entry.crashes, crash) || len(entry.crashes) >= crashLimit {
		return
	}
	entry.crashes = append(entry.crashes, crash)
	s.changed = true
	delete(s.proven, content)
	delete(s.older, content)
	if len(entry.crashes) >= crashLimit {
		entry.until = now.Add(quarantine)
	}
}

// Merge adds what another host knows, for as long as it counts there. It returns
// whether anything was new.
func (s *Suspects) Merge(now time.Time, other []Suspect, quarantine time.Duration) bool {
	before := s.changed
	s.changed = false
	for _, o := range other {
		for _, c := range o.Crashes {
			s.record(now, o.Content, c, min(suspectLife, o.Left), min(quarantine, o.Left))
		}
	}
	fresh := s.changed
	s.changed = before
	return fresh
}

// RecordFinished records that content finished: it did not crash its upstream.
func (s *Suspects) RecordFinished(content ContentHash) {
	if content == 0 {
		return
	}
	if entry := s.byContent[content]; entry != nil && len(entry.crashes) < crashLimit {
		delete(s.byContent, content)
	}
	s.proven[content] = true
	if len(s.proven) >= provenMost {
		s.older = s.proven
		s.proven = make(map[ContentHash]bool, provenMost)
	}
}

// IsSuspect says whether content has a crash to its name.
func (s *Suspects) IsSuspect(now time.Time, content ContentHash) bool {
	entry := s.byContent[content]
	return entry != nil && now.Before(entry.until)
}

// CrashCount returns how many upstreams crashed while content was running.
func (s *Suspects) CrashCount(content ContentHash) int {
	if entry := s.byContent[content]; entry != nil {
		return len(entry.crashes)
	}
	return 0
}

// IsProven says whether content finished before.
func (s *Suspects) IsProven(content ContentHash) bool {
	return s.proven[content] || s.older[content]
}

// QuarantineLeft returns how long content is still refused, or zero.
func (s *Suspects) QuarantineLeft(now time.Time, content ContentHash) time.Duration {
	entry := s.byContent[content]
	if entry == nil || len(entry.crashes) < crashLimit || !now.Before(entry.until) {
		return 0
	}
	return entry.until.Sub(now)
}

// Expire forgets what has run out.
func (s *Suspects) Expire(now time.Time) {
	for content, entry := range s.byContent {
		if !now.Before(entry.until) {
			delete(s.byContent, content)
		}
	}
}

// List returns the table, ordered by content, to tell other hosts.
func (s *Suspects) List(now time.Time) []Suspect {
	out := make([]Suspect, 0, len(s.byContent))
	for content, entry := range s.byContent {
		if now.Before(entry.until) {
			out = append(out, Suspect{Content: content, Crashes: slices.Clone(entry.crashes), Left: entry.until.Sub(now)})
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

// TakeChanged says whether the table changed since the last call.
func (s *Suspects) TakeChanged() bool {
	changed := s.changed
	s.changed = false
	return changed
}
