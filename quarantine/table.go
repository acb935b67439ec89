// Package quarantine refuses requests that have repeatedly crashed the
// upstreams that ran them, so that they can't bring down the remaining ones.
// Hosts share the crashes that they observe.
package quarantine

import (
	"strconv"
	"sync"
	"time"

	"mulberrydyke/plan"
	"mulberrydyke/route"
)

const (
	// Duration is how long a request is refused at least, and for its
	// content, how much longer after each further crash. It is far longer than an
	// upstream takes to restart.
	Duration = time.Minute
	// trialSpread is the time over which hosts try a request again, one after the
	// other. The news of a crash spreads in a small part of it, so that a trial costs
	// one upstream, not one for each host.
	trialSpread = time.Minute
	// maxSuspects bounds the suspects that a host keeps.
	maxSuspects = 4096
)

// Table holds the traits of requests that were running on upstreams when these crashed.
// It is safe for concurrent use.
type Table struct {
	host     plan.HostID
	mu       sync.Mutex
	suspects map[Key]*suspect
	harmless harmlessParts
	cleared  clearedCrashes
	// attribution is what follows from suspects. It is not valid after they have changed.
	attribution attribution
	// hasUpdates is set while there may be suspects to send.
	hasUpdates bool
	// cursor is the position of the last call of Reminders.
	cursor  int
	changed chan struct{}
}

// NewTable returns the empty table of a host.
func NewTable(host plan.HostID) *Table {
	return &Table{host: host, suspects: map[Key]*suspect{}, harmless: newHarmlessParts(), cleared: newClearedCrashes(), changed: make(chan struct{}, 1)}
}

// Empty reports whether there are no suspects. Callers then need not compute traits.
func (t *Table) Empty() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.suspects) == 0
}

// Counts returns the number of suspects, and how many of them are in quarantine.
func (t *Table) Counts(now time.Time) (suspects, quarantined int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	for k := range t.suspects {
		if t.left(now, k) > 0 {
			quarantined++
		}
	}
	return len(t.suspects), quarantined
}

// RecordCrash records that an upstream crashed while it was running a request with the
// given traits.
func (t *Table) RecordCrash(now time.Time, traits []Trait, u *route.Upstream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, trait := range traits {
		s := t.suspect(now, trait)
		if s.addCrash(observedCrash{id: crashOf(u), at: now}) {
			t.noteChange(now, s, true)
		}
	}
}

// RecordHarmless records that a request with the given traits, which began to run at the
// given time, did not crash its upstream.
func (t *Table) RecordHarmless(now, began time.Time, traits []Trait) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, trait := range traits {
		if trait.Depth != contentDepth {
			t.harmless.add(began, trait.Key)
		}
		if s := t.suspects[trait.Key]; s != nil && t.clear(s, began) {
			t.noteChange(now, s, true)
		}
	}
}

// clear records that a request with the trait of a suspect was harmless. It reports whether
// crashes no longer count because of that. t.mu must be held.
func (t *Table) clear(s *suspect, began time.Time) bool {
	cleared := s.clear(began)
	t.cleared.add(s.depth, began, cleared)
	return len(cleared) > 0
}

// QuarantineLeft returns how long requests with any of the given traits stay in
// quarantine at this host, or zero if they are not.
func (t *Table) QuarantineLeft(now time.Time, traits []Trait) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	longest := time.Duration(0)
	for _, trait := range traits {
		longest = max(longest, t.left(now, trait.Key))
	}
	return longest
}

// left returns how long a trait stays in quarantine at this host. t.mu must be held.
func (t *Table) left(now time.Time, k Key) time.Duration {
	s := t.suspects[k]
	if s == nil || len(s.crashes) < s.crashLimit() {
		return 0
	}
	if !t.attribution.valid(now) {
		t.attribution = attribute(now, t.suspects, t.cleared)
	}
	if !t.attribution.causes[k] {
		return 0
	}
	turn := route.UnitFraction(route.Hash(string(t.host), strconv.FormatUint(uint64(k), 16)))
	end := s.quarantineEnd().Add(time.Duration(turn * float64(trialSpread)))
	return max(0, end.Sub(now))
}

// suspect returns the suspect with a trait, which it adds if there is none. t.mu must be
// held.
func (t *Table) suspect(now time.Time, trait Trait) *suspect {
	s := t.suspects[trait.Key]
	if s != nil && now.Before(s.expires()) {
		return s
	}
	if s == nil && len(t.suspects) >= maxSuspects {
		t.makeRoom(now)
	}
	s = &suspect{depth: trait.Depth, harmlessAt: t.harmless.last(trait.Key)}
	t.suspects[trait.Key] = s
	return s
}

// noteChange records that a suspect has changed, by what this host observed or by what
// it was told. t.mu must be held.
func (t *Table) noteChange(now time.Time, s *suspect, observed bool) {
	unsent := s.update.observed && s.update.sent == 0
	s.update = update{since: now, observed: observed || unsent}
	t.attribution = attribution{}
	t.hasUpdates = true
	select {
	case t.changed <- struct{}{}:
	default:
	}
}

// makeRoom removes a suspect: an expired one, else the one that expires first, of those
// with the fewest crashes. t.mu must be held.
func (t *Table) makeRoom(now time.Time) {
	t.expire(now)
	if len(t.suspects) < maxSuspects {
		return
	}
	var first Key
	for k, s := range t.suspects {
		o := t.suspects[first]
		if o == nil || len(s.crashes) < len(o.crashes) || len(s.crashes) == len(o.crashes) && s.expires().Before(o.expires()) {
			first = k
		}
	}
	delete(t.suspects, first)
}

// expire deletes the suspects whose time has passed. t.mu must be held.
func (t *Table) expire(now time.Time) {
	for k, s := range t.suspects {
		if !now.Before(s.expires()) {
			delete(t.suspects, k)
			t.attribution = attribution{}
		}
	}
}
