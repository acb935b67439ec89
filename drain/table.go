package drain

import (
	"sync"
	"time"

	"mulberrydyke/broadcast"
	"mulberrydyke/route"
)

const (
	// retention is how long a draining process is remembered that the platform no longer
	// lists. The platform may list it again from an older copy.
	retention = time.Minute
	// maxEntries bounds the processes in a table.
	maxEntries = 4096
)

// Table holds the processes of upstreams that have said that they are draining, to this host or
// to others. A process goes on draining until it ends; another one of the same upstream starts
// clean. It is safe for concurrent use.
type Table struct {
	// changed is called, without a lock held, after a process was added.
	changed func()
	mu      sync.Mutex
	// lastListed holds for each draining process when the platform last listed it, which is
	// not up to date while it still does.
	lastListed map[route.ProcessKey]time.Time
	// listed holds all processes that the platform lists now.
	listed map[route.ProcessKey]bool
	queue  *broadcast.Queue[route.ProcessKey]
}

// NewTable returns an empty table. It calls changed after it has learned that a process is
// draining.
func NewTable(changed func()) *Table {
	return &Table{changed: changed, lastListed: map[route.ProcessKey]time.Time{}, queue: broadcast.NewQueue[route.ProcessKey]()}
}

// Record records that a process said to this host that it is draining. It reports whether that
// is new.
func (t *Table) Record(now time.Time, k route.ProcessKey) bool {
	return t.learn(now, []Update{{Key: k}}, true)
}

// Merge adds what another host tells. It reports whether anything is new. With passOn, this host
// tells others of it at once.
func (t *Table) Merge(now time.Time, list []Update, passOn bool) bool {
	return len(list) > 0 && t.learn(now, list, passOn)
}

func (t *Table) learn(now time.Time, list []Update, passOn bool) bool {
	t.mu.Lock()
	added := false
	for _, u := range list {
		if !t.add(now, u) {
			continue
		}
		added = true
		if passOn {
			t.queue.Put(u.Key)
		} else {
			t.queue.PutQuietly(u.Key)
		}
	}
	t.mu.Unlock()
	if added {
		t.changed()
	}
	return added
}

// add adds one process, and reports whether it was not known. t.mu must be held.
func (t *Table) add(now time.Time, u Update) bool {
	at := now.Add(-time.Duration(u.UnlistedMillis) * time.Millisecond)
	last, known := t.lastListed[u.Key]
	if known {
		if at.After(last) {
			t.lastListed[u.Key] = at
		}
		return false
	}
	if t.unlisted(now, u.Key, at) >= retention {
		return false
	}
	if len(t.lastListed) >= maxEntries {
		t.makeRoom(now)
	}
	t.lastListed[u.Key] = at
	return true
}

// unlisted returns for how long a process is not listed that was last listed at a time. t.mu
// must be held.
func (t *Table) unlisted(now time.Time, k route.ProcessKey, last time.Time) time.Duration {
	if t.listed[k] {
		return 0
	}
	return max(0, now.Sub(last))
}

// makeRoom removes the process that is not listed for longest. t.mu must be held.
func (t *Table) makeRoom(now time.Time) {
	var oldest route.ProcessKey
	longest := time.Duration(-1)
	for k, last := range t.lastListed {
		if d := t.unlisted(now, k, last); d > longest {
			oldest, longest = k, d
		}
	}
	t.remove(oldest)
}

func (t *Table) remove(k route.ProcessKey) {
	delete(t.lastListed, k)
	t.queue.Remove(k)
}

// expire removes the processes that are not listed for the retention time. t.mu must be held.
func (t *Table) expire(now time.Time) {
	for k, last := range t.lastListed {
		if t.unlisted(now, k, last) >= retention {
			t.remove(k)
		}
	}
}

// Draining reports whether a process has said that it is draining.
func (t *Table) Draining(k route.ProcessKey) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, ok := t.lastListed[k]
	return ok
}

// Count returns the number of draining processes that are remembered.
func (t *Table) Count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.lastListed)
}

// SetListed tells which upstreams the platform lists now.
func (t *Table) SetListed(now time.Time, upstreams *route.Upstreams) {
	listed := make(map[route.ProcessKey]bool, len(upstreams.ByID))
	for _, u := range upstreams.ByID {
		listed[u.ProcessKey()] = true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for k := range t.lastListed {
		if t.listed[k] {
			t.lastListed[k] = now
		}
	}
	t.listed = listed
	t.expire(now)
}
