package soak

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeEntry is one entry of the store, or its deletion, as sent to hosts.
type storeEntry struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// storeWrite is a change and when it was acknowledged.
type storeWrite struct {
	entry storeEntry
	at    time.Time
}

// fakeStore is an in-memory stand-in for the platform's key-value store. It serves a
// paged range read over all entries, and long-polling watches.
type fakeStore struct {
	mu       sync.Mutex
	revision uint64
	entries  map[string]storeEntry
	history  []storeEntry
	// compactedRevision is the revision up to which the history was discarded.
	compactedRevision uint64
	// epoch is named in all answers. It rises with each restore.
	epoch uint64
	// writes holds all changes of the present contents, for restore.
	writes []storeWrite
	// changed is closed and replaced on every change of entries, history or faults.
	changed chan struct{}
	// watchesStalled holds back events from watches; unavailable answers every call
	// with 503.
	watchesStalled, unavailable bool
	server                      *httptest.Server
}

// newFakeStore starts an empty store on a loopback address.
func newFakeStore() *fakeStore {
	s := &fakeStore{entries: map[string]storeEntry{}, epoch: 1, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-range", s.serveRange)
	mux.HandleFunc("GET /kv-watch", s.serveWatch)
	s.server = httptest.NewServer(mux)
	return s
}

// put writes an entry, or deletes it if value is nil. It returns the time of the
// acknowledgement.
func (s *fakeStore) put(key string, value any) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	e := storeEntry{Key: key, Revision: s.revision, Deleted: value == nil}
	if value != nil {
		raw, err := json.Marshal(value)
		if err != nil {
			panic(err) // every value comes from this package
		}
		e.Value = raw
		s.entries[key] = e
	} else {
		delete(s.entries, key)
	}
	s.history = append(s.history, e)
	s.writes = append(s.writes, storeWrite{e, time.Now()})
	s.notifyWatches()
	return time.Now()
}

// restore puts the store back to what it held some time ago, without history. It returns the
// entries that were lost or are different there, with a nil value where there was none.
func (s *fakeStore) restore(age time.Duration) map[string]json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.entries
	s.entries, s.revision = map[string]storeEntry{}, 0
	kept := 0
	for kept < len(s.writes) && time.Since(s.writes[kept].at) >= age {
		e := s.writes[kept].entry
		s.entries[e.Key] = e
		if e.Deleted {
			delete(s.entries, e.Key)
		}
		s.revision = e.Revision
		kept++
	}
	s.writes = s.writes[:kept]
	s.epoch++
	s.compactedRevision, s.history = s.revision, nil
	s.notifyWatches()
	lost := map[string]json.RawMessage{}
	for key, e := range before {
		if s.entries[key].Revision != e.Revision {
			lost[key] = e.Value
		}
	}
	for key := range s.entries {
		if _, ok := before[key]; !ok {
			lost[key] = nil
		}
	}
	return lost
}

// nameEpoch names the epoch of an answer.
func nameEpoch(w http.ResponseWriter, epoch uint64) {
	w.Header().Set("Store-Era", strconv.FormatUint(epoch, 10))
}

// notifyWatches wakes all waiting watches. The caller holds s.mu.
func (s *fakeStore) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// setFaults switches the faults on or off.
func (s *fakeStore) setFaults(watchesStalled, unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchesStalled, s.unavailable = watchesStalled, unavailable
	s.notifyWatches()
}

// compact discards the history. Watches from an older revision get 410 Gone and have to
// read the whole store again.
func (s *fakeStore) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactedRevision, s.history = s.revision, nil
	s.notifyWatches()
}

// rejectIfUnavailable answers with 503 and returns true if the store is unavailable.
func (s *fakeStore) rejectIfUnavailable(w http.ResponseWriter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	nameEpoch(w, s.epoch)
	if s.unavailable {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	return s.unavailable
}

// serveRange serves one page of the entries after a key, in key order.
func (s *fakeStore) serveRange(w http.ResponseWriter, r *http.Request) {
	if s.rejectIfUnavailable(w) {
		return
	}
	const maxPageEntries = 4 // small, so that every range read takes several pages
	s.mu.Lock()
	defer s.mu.Unlock()
	nameEpoch(w, s.epoch)
	after := r.FormValue("after")
	var page []storeEntry
	for _, e := range s.entries {
		if e.Key > after {
			page = append(page, e)
		}
	}
	sort.Slice(page, func(i, j int) bool { return page[i].Key < page[j].Key })
	truncated := len(page) > maxPageEntries
	writeJSON(w, map[string]any{"items": page[:min(maxPageEntries, len(page))], "truncated": truncated, "asOf": s.revision})
}

// serveWatch serves the events after a revision. Without any it waits for the next
// change or the end of the requested wait.
func (s *fakeStore) serveWatch(w http.ResponseWriter, r *http.Request) {
	if s.rejectIfUnavailable(w) {
		return
	}
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
	waitMs, _ := strconv.Atoi(r.FormValue("waitMs"))
	timer := time.After(time.Duration(waitMs) * time.Millisecond)
	for expired := false; ; {
		s.mu.Lock()
		gone := after < s.compactedRevision || after > s.revision
		stalled, changed, asOf := s.watchesStalled, s.changed, s.revision
		nameEpoch(w, s.epoch)
		var events []storeEntry
		for _, e := range s.history {
			if e.Revision > after && !stalled {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		switch {
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		case expired && stalled:
			writeJSON(w, map[string]any{"events": []storeEntry{}, "asOf": after})
			return
		case expired, len(events) > 0:
			writeJSON(w, map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-timer:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

// writeJSON writes v as the JSON body of a response.
func writeJSON(w http.ResponseWriter, v any) {
	_ = json.NewEncoder(w).Encode(v) // fails only if the client has disconnected
}

// address returns the address that the store listens on.
func (s *fakeStore) address() string { return strings.TrimPrefix(s.server.URL, "http://") }
