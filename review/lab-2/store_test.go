//go:build review

package lab

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeItem is an entry of the store, or its removal.
type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store is a stand-in for the platform's metadata store. It serves /kv-range and /kv-watch as
// PROTOCOL.md describes them.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]storeItem
	history  []storeItem
	changed  chan struct{}
	address  string
}

// pageItems is the largest number of items in a page of a range.
const pageItems = 500

// newStore starts a store. The returned function stops it.
func newStore() (*store, func(), error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	s := &store{revision: 100, items: map[string]storeItem{}, changed: make(chan struct{}), address: listener.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-range", s.serveRange)
	mux.HandleFunc("GET /kv-watch", s.serveWatch)
	server := &http.Server{Handler: mux}
	go func() { _ = server.Serve(listener) }()
	return s, func() { _ = server.Close() }, nil
}

// put writes an entry, or removes it if value is nil.
func (s *store) put(key string, value any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	item := storeItem{Key: key, Revision: s.revision, Deleted: value == nil}
	if value == nil {
		delete(s.items, key)
	} else {
		raw, err := json.Marshal(value)
		if err != nil {
			panic(err) // all values are of this program
		}
		item.Value, item.Created = raw, s.revision
		if before, ok := s.items[key]; ok {
			item.Created = before.Created
		}
		s.items[key] = item
	}
	s.history = append(s.history, item)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	page := []storeItem{}
	for _, item := range s.items {
		if strings.HasPrefix(item.Key, r.FormValue("prefix")) && item.Key > r.FormValue("after") {
			page = append(page, item)
		}
	}
	sort.Slice(page, func(i, j int) bool { return page[i].Key < page[j].Key })
	truncated := len(page) > pageItems
	writeJSON(w, map[string]any{"items": page[:min(len(page), pageItems)], "truncated": truncated, "asOf": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("waitMs"))
	timer := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []storeItem{}
		for _, item := range s.history {
			if item.Revision > after && strings.HasPrefix(item.Key, r.FormValue("prefix")) {
				events = append(events, item)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			writeJSON(w, map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-timer:
			writeJSON(w, map[string]any{"events": events, "asOf": asOf})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // fails only if the caller has left
}
