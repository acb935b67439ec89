package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxTold is how often a host tells each change, so that a few lost messages
	// don't matter.
	maxTold = 5
	// maxBatchBytes bounds the encoded suspects of one message, so that it fits into
	// one frame of most networks.
	maxBatchBytes = 900
	// suspectBytes and crashBytes are the largest encoded size of a suspect without
	// its crashes, and of one crash.
	suspectBytes = 12
	crashBytes   = 16
	// maxBatches bounds the messages that carry suspects at once.
	maxBatches = 3
	// minTimeLeft is the time for which a suspect must still be kept to be taken over
	// from another host. Otherwise two hosts could keep reminding each other of one
	// that either is about to forget.
	minTimeLeft = 2 * time.Second
)

// Suspect is what a host tells others of a suspect.
type Suspect struct {
	_       struct{} `cbor:",toarray"`
	Key     Key
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
	if s.Key == 0 || len(s.Crashes) == 0 || len(s.Crashes) > maxCrashes {
		return false
	}
	return !slices.ContainsFunc(s.Crashes, func(c Crash) bool { return c.AgeMillis < 0 || c.AgeMillis > suspectTTL.Milliseconds() })
}

// news tells what other hosts have yet to hear of a suspect.
type news struct {
	// since is when this host learned what it has to tell.
	since time.Time
	// told counts the messages that carried it.
	told int
	// observed is set if this host saw it itself, and no other host tells it.
	observed bool
}

// Changed returns a channel that signals that there is something new to tell.
func (t *Table) Changed() <-chan struct{} { return t.changed }

// Merge adds the suspects that another host tells. It reports whether any crash was
// new.
func (t *Table) Merge(now time.Time, list []Suspect) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	added := false
	for _, told := range list {
		s := told.suspect(now)
		if s.expires().Sub(now) < minTimeLeft {
			continue
		}
		for _, c := range s.crashes {
			added = t.add(now, told.Key, c, false) || added
		}
	}
	return added
}

// suspect returns the suspect as this host would keep it.
func (s *Suspect) suspect(now time.Time) suspect {
	var out suspect
	for _, c := range s.Crashes {
		out.add(observedCrash{id: c.ID, at: now.Add(-time.Duration(c.AgeMillis) * time.Millisecond)})
	}
	return out
}

// Headlines returns suspects that were not told yet, to be sent at once: all of them,
// or only those that this host observed. Each batch fits into one message.
func (t *Table) Headlines(now time.Time, onlyObserved bool) [][]Suspect {
	return t.take(now, func(s *suspect) bool { return s.news.told == 0 && (s.news.observed || !onlyObserved) })
}

// News returns the suspects to tell next: of those that were told less than maxTold
// times since they changed, the ones that were told least, and of these the newest. So
// old suspects, however many, can't hold up a new one. Each batch fits into one message.
func (t *Table) News(now time.Time) [][]Suspect {
	return t.take(now, func(s *suspect) bool { return s.news.told < maxTold })
}

// take returns up to maxBatches batches of the suspects that match, and counts that they
// are told.
func (t *Table) take(now time.Time, match func(*suspect) bool) [][]Suspect {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.hasNews {
		return nil
	}
	t.expire(now)
	t.hasNews = false
	var keys []Key
	for k, s := range t.suspects {
		t.hasNews = t.hasNews || s.news.told < maxTold
		if match(s) {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, func(a, b Key) int {
		x, y := t.suspects[a].news, t.suspects[b].news
		return cmp.Or(cmp.Compare(x.told, y.told), y.since.Compare(x.since), cmp.Compare(a, b))
	})
	var out [][]Suspect
	for len(keys) > 0 && len(out) < maxBatches {
		batch := t.batch(now, keys)
		for _, s := range batch {
			t.suspects[s.Key].news.told++
		}
		out = append(out, batch)
		keys = keys[len(batch):]
	}
	return out
}

// Reminders returns suspects in quarantine, other ones with each call, for hosts that
// have started or were out of reach since they were told of.
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
		told := Suspect{Key: k}
		for _, c := range s.crashes {
			age := max(0, now.Sub(c.at)+time.Millisecond-1)
			told.Crashes = append(told.Crashes, Crash{ID: c.id, AgeMillis: age.Milliseconds()})
		}
		out = append(out, told)
	}
	return out
}
