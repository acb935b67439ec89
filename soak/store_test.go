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

// entry is one entry of the store as it goes over the wire, or its removal.
type entry struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store is a stand-in of the platform's store: a range of everything, and
// watches that wait.
type store struct {
	mu       sync.Mutex
	revision uint64
	entries  map[string]entry
	history  []entry
	// forgotten is the revision up to which there is no history.
	forgotten uint64
	changed   chan struct{}
	// silent keeps waiting watches from hearing anything; busy refuses all calls.
	silent, busy bool
	server       *httptest.Server
}

func newStore() *store {
	s := &store{entries: map[string]entry{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-range", s.serveRange)
	mux.HandleFunc("GET /kv-watch", s.serveWatch)
	s.server = httptest.NewServer(mux)
	return s
}

// put writes an entry, or removes it where value is nil. Its return is the
// acknowledgement.
func (s *store) put(key string, value any) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	e := entry{Key: key, Revision: s.revision, Deleted: value == nil}
	if value != nil {
		raw, err := json.Marshal(value)
		if err != nil {
			panic(err) // the values are the soak's own
		}
		e.Value = raw
		s.entries[key] = e
	} else {
		delete(s.entries, key)
	}
	s.history = append(s.history, e)
	s.wake()
	return time.Now()
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// set switches faults.
func (s *store) set(silent, busy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent, s.busy = silent, busy
	s.wake()
}

// forget drops the history, so that watches from before have to read anew.
func (s *store) forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forgotten, s.history = s.revision, nil
	s.wake()
}

func (s *store) isBusy(w http.ResponseWriter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	return s.busy
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	if s.isBusy(w) {
		return
	}
	const pageMost = 4 // small, so that every read takes several pages
	s.mu.Lock()
	defer s.mu.Unlock()
	after := r.FormValue("after")
	var page []entry
	for _, e := range s.entries {
		if e.Key > after {
			page = append(page, e)
		}
	}
	sort.Slice(page, func(i, j int) bool { return page[i].Key < page[j].Key })
	truncated := len(page) > pageMost
	writeJSON(w, map[string]any{"items": page[:min(pageMost, len(page))], "truncated": truncated, "asOf": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	if s.isBusy(w) {
		return
	}
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("waitMs"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for over := false; ; {
		s.mu.Lock()
		gone, silent, changed, asOf := after < s.forgotten, s.silent, s.changed, s.revision
		var events []entry
		for _, e := range s.history {
			if e.Revision > after && !silent {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		switch {
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		case over && silent:
			writeJSON(w, map[string]any{"events": []entry{}, "asOf": after})
			return
		case over, len(events) > 0:
			writeJSON(w, map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-end:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	_ = json.NewEncoder(w).Encode(v) // a caller that left needs no answer
}

func (s *store) address() string { return strings.TrimPrefix(s.server.URL, "http://") }
