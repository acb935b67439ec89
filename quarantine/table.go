// Package quarantine refuses requests that have repeatedly crashed the
// upstreams that ran them, so that they can't bring down the remaining ones.
// Hosts share the crashes that they observe.
package quarantine

import (
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"mulberrydyke/call"
	"mulberrydyke/plan"
	"mulberrydyke/route"
)

const (
	// Duration is how long a request is refused at least after its second crash, and
	// how much longer after each further one. It is far longer than an upstream takes to
	// restart.
	Duration = time.Minute
	// trialSpread is the time over which hosts try a request again, one after the
	// other. The news of a crash spreads in a small part of it, so that a trial costs
	// one upstream, not one for each host.
	trialSpread = time.Minute
	// crashLimit is the number of crashes from which a request is refused.
	crashLimit = 2
	// maxCrashes bounds the crashes that are kept of a suspect.
	maxCrashes = 8
	// suspectTTL is how long a suspect is kept after its last crash.
	suspectTTL = 20 * time.Minute
	// maxSuspects bounds the suspects that a host keeps.
	maxSuspects = 4096
)

// Key identifies the content of a request by a hash. Zero means unknown.
type Key uint64

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

// suspect is what a host knows of a key that was running on upstreams when they
// crashed.
type suspect struct {
	// crashes holds one to maxCrashes crashes, ordered by time, without duplicates.
	crashes []observedCrash
	news    news
}

// lastCrash returns when the last known crash happened.
func (s *suspect) lastCrash() time.Time { return s.crashes[len(s.crashes)-1].at }

// quarantineEnd returns when the first host may try the request again. It is zero if the
// request is not in quarantine.
func (s *suspect) quarantineEnd() time.Time {
	if len(s.crashes) < crashLimit {
		return time.Time{}
	}
	return s.lastCrash().Add(time.Duration(len(s.crashes)-crashLimit+1) * Duration)
}

// expires returns when the suspect is forgotten.
func (s *suspect) expires() time.Time { return s.lastCrash().Add(suspectTTL) }

// add adds a crash. It reports whether the crash was not known yet.
func (s *suspect) add(c observedCrash) bool {
	known := slices.ContainsFunc(s.crashes, func(o observedCrash) bool { return o.id == c.id })
	if known || len(s.crashes) >= maxCrashes && !c.at.After(s.crashes[0].at) {
		return false
	}
	s.crashes = append(s.crashes, c)
	slices.SortFunc(s.crashes, func(a, b observedCrash) int { return a.at.Compare(b.at) })
	s.crashes = s.crashes[max(0, len(s.crashes)-maxCrashes):]
	return true
}

// Table holds the requests that were running on upstreams when these crashed. It is
// safe for concurrent use.
type Table struct {
	host     plan.HostID
	mu       sync.Mutex
	suspects map[Key]*suspect
	// hasNews is set while other hosts may not have been told of all suspects.
	hasNews bool
	// cursor is the position of the last call of Reminders.
	cursor  int
	changed chan struct{}
}

// NewTable returns the empty table of a host.
func NewTable(host plan.HostID) *Table {
	return &Table{host: host, suspects: map[Key]*suspect{}, changed: make(chan struct{}, 1)}
}

// KeyOf returns the key of a request. Requests from one caller with the same method,
// host, target and body have the same key. It is never zero.
func KeyOf(r *call.Request) Key {
	d := xxhash.New()
	for _, field := range []string{r.APIKey, r.Method, r.Host, r.Target} {
		_, _ = d.WriteString(field)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(r.Body)
	return Key(d.Sum64() | 1)
}

// Empty reports whether there are no suspects. Callers then need not compute keys.
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

// RecordCrash records that an upstream crashed while it was running a request.
func (t *Table) RecordCrash(now time.Time, k Key, u *route.Upstream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.add(now, k, observedCrash{id: crashOf(u), at: now}, true)
}

// add adds a crash that this host observed itself or was told of. It reports whether
// the crash was not known yet. t.mu must be held.
func (t *Table) add(now time.Time, k Key, c observedCrash, observed bool) bool {
	s := t.suspects[k]
	if s != nil && !now.Before(s.expires()) {
		delete(t.suspects, k)
		s = nil
	}
	if s == nil {
		if len(t.suspects) >= maxSuspects {
			t.makeRoom(now)
		}
		s = &suspect{}
		t.suspects[k] = s
	}
	if !s.add(c) {
		return false
	}
	s.news = news{since: now, observed: observed}
	t.hasNews = true
	select {
	case t.changed <- struct{}{}:
	default:
	}
	return true
}

// makeRoom removes a suspect: an expired one, else the one whose last crash is longest
// ago, of those with the fewest crashes.
func (t *Table) makeRoom(now time.Time) {
	t.expire(now)
	if len(t.suspects) < maxSuspects {
		return
	}
	var oldest Key
	for k, s := range t.suspects {
		o := t.suspects[oldest]
		if o == nil || len(s.crashes) < len(o.crashes) || len(s.crashes) == len(o.crashes) && s.lastCrash().Before(o.lastCrash()) {
			oldest = k
		}
	}
	delete(t.suspects, oldest)
}

// expire deletes the suspects whose time has passed. t.mu must be held.
func (t *Table) expire(now time.Time) {
	for k, s := range t.suspects {
		if !now.Before(s.expires()) {
			delete(t.suspects, k)
		}
	}
}

// RecordFinished records that a request finished without crashing its upstream. It
// is then no longer a suspect, unless it is in quarantine.
func (t *Table) RecordFinished(now time.Time, k Key) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.suspects[k]; s != nil && t.left(now, k) == 0 {
		delete(t.suspects, k)
	}
}

// QuarantineLeft returns how long a request stays in quarantine at this host, or zero if
// it is not.
func (t *Table) QuarantineLeft(now time.Time, k Key) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.left(now, k)
}

// left returns how long a key stays in quarantine at this host. t.mu must be held.
func (t *Table) left(now time.Time, k Key) time.Duration {
	s := t.suspects[k]
	if s == nil || len(s.crashes) < crashLimit {
		return 0
	}
	turn := route.UnitFraction(route.Hash(string(t.host), strconv.FormatUint(uint64(k), 16)))
	end := s.quarantineEnd().Add(time.Duration(turn * float64(trialSpread)))
	return max(0, end.Sub(now))
}
