//go:build review

package lab

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// item is an entry of the store, or its removal.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store is a stand-in for the platform's store. It serves /kv-range and /kv-watch.
type store struct {
	listener net.Listener
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	changed  chan struct{}
	// generation counts the calls of cutWatches. Watches that wait when it rises are cut.
	generation, cuts int
}

func newStore() (*store, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{listener: listener, items: map[string]item{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-range", s.serveRange)
	mux.HandleFunc("GET /kv-watch", s.serveWatch)
	go func() { _ = http.Serve(listener, mux) }()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

func (s *store) close() { _ = s.listener.Close() }

// cutWatches closes the connections of all watches that wait now, in order and without an answer.
func (s *store) cutWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.generation++
	s.wake()
}

// wake wakes all watches. s.mu must be held.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// cutCount returns how many watches were cut.
func (s *store) cutCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cuts
}

// put writes an entry, or removes it if value is nil. It returns when that was acknowledged.
func (s *store) put(key string, value any) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	e := item{Key: key, Revision: s.revision, Deleted: value == nil}
	if value == nil {
		delete(s.items, key)
	} else {
		raw, err := json.Marshal(value)
		if err != nil {
			panic(err) // all values come from this program
		}
		e.Value, e.Created = raw, s.revision
		s.items[key] = e
	}
	s.history = append(s.history, e)
	s.wake()
	return time.Now()
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	after := r.FormValue("after")
	page := []item{}
	for _, e := range s.items {
		if e.Key > after {
			page = append(page, e)
		}
	}
	sort.Slice(page, func(i, j int) bool { return page[i].Key < page[j].Key })
	writeJSON(w, map[string]any{"items": page, "truncated": false, "asOf": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
	waitMs, _ := strconv.Atoi(r.FormValue("waitMs"))
	began := time.Now()
	first := -1
	for {
		s.mu.Lock()
		events := []item{}
		for _, e := range s.history {
			if e.Revision > after {
				events = append(events, e)
			}
		}
		changed, asOf, generation := s.changed, s.revision, s.generation
		s.mu.Unlock()
		if first < 0 {
			first = generation
		}
		left := time.Until(began.Add(time.Duration(waitMs) * time.Millisecond))
		switch {
		case generation != first:
			s.cut(w)
			return
		case len(events) > 0 || left <= 0:
			writeJSON(w, map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-time.After(left):
		case <-r.Context().Done():
			return
		}
	}
}

// cut closes the connection of a watch in order and without an answer.
func (s *store) cut(w http.ResponseWriter) {
	s.mu.Lock()
	s.cuts++
	s.mu.Unlock()
	if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
		_ = conn.Close()
	}
}

func writeJSON(w http.ResponseWriter, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(fmt.Sprint("encode: ", err)) // all bodies come from this program
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(raw)
}
