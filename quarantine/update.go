package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxSends is how often a host sends each change, so that a few lost messages
	// don't matter.
	maxSends = 5
	// maxBatchBytes bounds the encoded suspects of one message, so that it fits into
	// one frame of most networks.
	maxBatchBytes = 900
	// suspectBytes and crashBytes are the largest encoded size of a suspect without
	// its crashes, and of one crash.
	suspectBytes = 20
	crashBytes   = 16
	// maxBatches bounds the messages that carry suspects at once.
	maxBatches = 3
	// contradictInterval is the minimum time between two updates on a harmless suspect
	// that a host sends because others count older crashes against it.
	contradictInterval = 300 * time.Millisecond
	// minTimeLeft is the time for which a suspect must still be kept to be taken over
	// from another host. Otherwise two hosts could keep reminding each other of one
	// that either is about to forget.
	minTimeLeft = 2 * time.Second
)

// Suspect is what a host tells others of a suspect.
type Suspect struct {
	_     struct{} `cbor:",toarray"`
	Key   Key
	Depth Depth
	// HarmlessAgeMillis is the time since the last request with the trait began that did not
	// crash its upstream, or zero if none is known.
	HarmlessAgeMillis int64
	// Crashes are those since then.
	Crashes []Crash
}

// Crash is a crash of an upstream's process under a suspect.
type Crash struct {
	_  struct{} `cbor:",toarray"`
	ID CrashID
	// AgeMillis is the time since the crash, rounded up, so that a crash that is
	// passed on does not grow younger.
	AgeMillis int64
}

// Valid reports whether a suspect that was received makes sense.
func (s *Suspect) Valid() bool {
	if s.Key == 0 || s.Depth < 1 || s.Depth > contentDepth || s.HarmlessAgeMillis < 0 || len(s.Crashes) > maxCrashes {
		return false
	}
	if len(s.Crashes) == 0 && s.HarmlessAgeMillis == 0 {
		return false
	}
	// The oldest crash may be suspectTTL older than the last, which may be as old.
	const maxAge = 2 * suspectTTL
	return !slices.ContainsFunc(s.Crashes, func(c Crash) bool { return c.AgeMillis < 0 || c.AgeMillis > maxAge.Milliseconds() })
}

// update tracks what other hosts have yet to be sent of a suspect.
type update struct {
	// since is when this host learned what it has to tell.
	since time.Time
	// sent counts the messages that carried it.
	sent int
	// observed is set if this host saw it itself, and no other host tells it.
	observed bool
}

// Changed returns a channel that signals that there are unsent updates.
func (t *Table) Changed() <-chan struct{} { return t.changed }

// Merge adds the suspects that another host tells. It reports whether that changed what
// is known of any crash.
func (t *Table) Merge(now time.Time, list []Suspect) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := false
	for _, told := range list {
		other := told.suspect(now)
		if other.expires().Sub(now) < minTimeLeft {
			continue
		}
		s := t.suspect(now, Trait{Key: told.Key, Depth: told.Depth})
		switch {
		case t.mergeSuspect(s, other):
			t.noteChange(now, s, false)
			changed = true
		case s.contradicts(other) && now.Sub(s.update.since) >= contradictInterval:
			t.noteChange(now, s, true)
		}
	}
	return changed
}

// contradicts reports whether a request with the trait was harmless after a crash that
// another host counts.
func (s *suspect) contradicts(other suspect) bool {
	return slices.ContainsFunc(other.crashes, func(c observedCrash) bool { return !c.at.After(s.harmlessAt) })
}

// mergeSuspect adds what another host knows of a suspect. It reports whether that changed
// the crashes. t.mu must be held.
func (t *Table) mergeSuspect(s *suspect, other suspect) bool {
	changed := t.clear(s, other.harmlessAt)
	for _, c := range other.crashes {
		changed = s.addCrash(c) || changed
	}
	return changed
}

// suspect returns the suspect as this host would keep it.
func (s *Suspect) suspect(now time.Time) suspect {
	out := suspect{depth: s.Depth}
	if s.HarmlessAgeMillis > 0 {
		out.harmlessAt = timeBefore(now, s.HarmlessAgeMillis)
	}
	for _, c := range s.Crashes {
		out.crashes = append(out.crashes, observedCrash{id: c.ID, at: timeBefore(now, c.AgeMillis)})
	}
	slices.SortFunc(out.crashes, func(a, b observedCrash) int { return a.at.Compare(b.at) })
	return out
}

func timeBefore(now time.Time, millis int64) time.Time {
	return now.Add(-time.Duration(millis) * time.Millisecond)
}

// millisSince returns the time since t, rounded up.
func millisSince(now, t time.Time) int64 {
	return max(0, now.Sub(t)+time.Millisecond-1).Milliseconds()
}

// UnsentUpdates returns suspects that were not sent yet since they changed: all of them,
// or only those that this host observed. Each batch fits into one message.
func (t *Table) UnsentUpdates(now time.Time, onlyObserved bool) [][]Suspect {
	return t.take(now, func(s *suspect) bool { return s.update.sent == 0 && (s.update.observed || !onlyObserved) })
}

// NextUpdates returns the suspects to send next: of those that were sent less than
// maxSends times since they changed, the ones that were sent least often, and of these
// the newest. So old suspects, however many, can't hold up a new one. Each batch fits into one message.
func (t *Table) NextUpdates(now time.Time) [][]Suspect {
	return t.take(now, func(s *suspect) bool { return s.update.sent < maxSends })
}

// take returns up to maxBatches batches of the suspects that match, and counts that they
// are sent.
func (t *Table) take(now time.Time, match func(*suspect) bool) [][]Suspect {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.hasUpdates {
		return nil
	}
	t.expire(now)
	t.hasUpdates = false
	var keys []Key
	for k, s := range t.suspects {
		t.hasUpdates = t.hasUpdates || s.update.sent < maxSends
		if match(s) {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, func(a, b Key) int {
		x, y := t.suspects[a].update, t.suspects[b].update
		return cmp.Or(cmp.Compare(x.sent, y.sent), y.since.Compare(x.since), cmp.Compare(a, b))
	})
	var out [][]Suspect
	for len(keys) > 0 && len(out) < maxBatches {
		batch := t.batch(now, keys)
		for _, s := range batch {
			t.suspects[s.Key].update.sent++
		}
		out = append(out, batch)
		keys = keys[len(batch):]
	}
	return out
}

// Reminders returns suspects in quarantine, other ones with each call, for hosts that
// have started or were out of reach when they were sent.
func (t *Table) Reminders(now time.Time) []Suspect {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	var keys []Key
	for k := range t.suspects {
		if t.left(now, k) > 0 {
			keys = append(keys, k)
		}
	}
	if len(keys) == 0 {
		return nil
	}
	slices.Sort(keys)
	t.cursor %= len(keys)
	out := t.batch(now, slices.Concat(keys[t.cursor:], keys[:t.cursor]))
	t.cursor += len(out)
	return out
}

// batch returns as many of the given suspects as fit into one message. t.mu must be
// held.
func (t *Table) batch(now time.Time, keys []Key) []Suspect {
	var out []Suspect
	size := 0
	for _, k := range keys {
		s := t.suspects[k]
		size += suspectBytes + crashBytes*len(s.crashes)
		if size > maxBatchBytes {
			break
		}
		told := Suspect{Key: k, Depth: s.depth}
		if !s.harmlessAt.IsZero() {
			told.HarmlessAgeMillis = max(1, millisSince(now, s.harmlessAt))
		}
		for _, c := range s.crashes {
			told.Crashes = append(told.Crashes, Crash{ID: c.id, AgeMillis: millisSince(now, c.at)})
		}
		out = append(out, told)
	}
	return out
}
