//go:build review

package lab

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// storeItem is one entry of the store, or its removal.
type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store stands in for the platform's store: paged reads and watches over HTTP.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]storeItem
	history  []storeItem
	changed  chan struct{}
	address  string
	server   *http.Server
}

// newStore starts an empty store on a free loopback port.
func newStore() (*store, error) {
	s := &store{items: map[string]storeItem{}, changed: make(chan struct{})}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-range", s.serveRange)
	mux.HandleFunc("GET /kv-watch", s.serveWatch)
	s.address, s.server = listener.Addr().String(), &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

func (s *store) close() { _ = s.server.Close() }

// put writes an item and returns when it is acknowledged.
func (s *store) put(key string, value any) (time.Time, error) {
	raw, err := json.Marshal(value)
	if err != nil {
		return time.Time{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	item := storeItem{Key: key, Value: raw, Revision: s.revision}
	s.items[key] = item
	s.history = append(s.history, item)
	close(s.changed)
	s.changed = make(chan struct{})
	return time.Now(), nil
}

// remove removes an item and returns when that is acknowledged.
func (s *store) remove(key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, storeItem{Key: key, Revision: s.revision, Deleted: true})
	close(s.changed)
	s.changed = make(chan struct{})
	return time.Now()
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []storeItem{}
	for _, item := range s.items {
		if item.Key > r.FormValue("after") {
			items = append(items, item)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	writeJSON(w, map[string]any{"items": items, "truncated": false, "asOf": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
	waitMs, _ := strconv.Atoi(r.FormValue("waitMs"))
	timer := time.NewTimer(time.Duration(waitMs) * time.Millisecond)
	defer timer.Stop()
	for expired := false; ; {
		s.mu.Lock()
		events, asOf, changed := []storeItem{}, s.revision, s.changed
		for _, item := range s.history {
			if item.Revision > after {
				events = append(events, item)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 || expired {
			writeJSON(w, map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // fails only if the host has closed the connection
}
