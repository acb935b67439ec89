//go:build review

package lab

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
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

// store is a stand-in for the platform's store. Its revisions start at 1, and it keeps all
// of its history.
type store struct {
	mu       sync.Mutex
	revision uint64
	history  []item
	// changed is closed and replaced with each change.
	changed chan struct{}
}

func newStore() *store { return &store{changed: make(chan struct{}), revision: 1} }

// put writes an entry and returns when the store has accepted it.
func (s *store) put(key string, value any) time.Time {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err) // all values are of this program
	}
	return s.write(item{Key: key, Value: raw})
}

// remove removes an entry and returns when the store has accepted that.
func (s *store) remove(key string) time.Time { return s.write(item{Key: key, Deleted: true}) }

func (s *store) write(it item) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it.Revision, it.Created = s.revision, s.revision
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
	return time.Now()
}

// entries returns the entries with a prefix after a key, in the order of their keys.
func (s *store) entries(prefix, after string) (list []item, asOf uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	latest := map[string]item{}
	for _, it := range s.history {
		latest[it.Key] = it
	}
	for _, key := range sortedKeys(latest) {
		if it := latest[key]; !it.Deleted && strings.HasPrefix(key, prefix) && key > after {
			list = append(list, it)
		}
	}
	return list, s.revision
}

// events returns the changes with a prefix after a revision, and a channel that is closed
// with the next change.
func (s *store) events(prefix string, after uint64) (list []item, asOf uint64, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, it := range s.history {
		if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
			list = append(list, it)
		}
	}
	return list, s.revision, s.changed
}

// pageItems is the number of items in a page.
const pageItems = 500

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	list, asOf := s.entries(r.FormValue("prefix"), r.FormValue("after"))
	truncated := len(list) > pageItems
	if truncated {
		list = list[:pageItems]
	}
	writeJSON(w, map[string]any{"items": nonNil(list), "truncated": truncated, "asOf": asOf})
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	list, _ := s.entries(r.FormValue("key"), "")
	if len(list) == 0 || list[0].Key != r.FormValue("key") {
		http.NotFound(w, r)
		return
	}
	writeJSON(w, list[0])
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		list, asOf, changed := s.events(r.FormValue("prefix"), after)
		if len(list) > 0 {
			writeJSON(w, map[string]any{"events": list, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writeJSON(w, map[string]any{"events": []item{}, "asOf": asOf})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func nonNil(list []item) []item {
	if list == nil {
		return []item{}
	}
	return list
}

func writeJSON(w http.ResponseWriter, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err) // all values are of this program
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	_, _ = w.Write(raw) // the reader may have gone
}

// door is one host's own way to the store, which can be cut.
type door struct {
	net.Listener
	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]bool
}

// openDoor opens a way to the store at a free port of a loopback address.
func (s *store) openDoor() (*door, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &door{Listener: listener, conns: map[net.Conn]bool{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.serveKey)
	mux.HandleFunc("GET /kv-watch", s.serveWatch)
	mux.HandleFunc("GET /kv-range", s.serveRange)
	server := &http.Server{Handler: mux, ConnState: d.track}
	go func() { _ = server.Serve(d) }() // ends with the program
	return d, nil
}

// Accept implements net.Listener. While the door is cut, it resets new connections.
func (d *door) Accept() (net.Conn, error) {
	for {
		conn, err := d.Listener.Accept()
		if err != nil {
			return nil, err
		}
		d.mu.Lock()
		cut := d.cut
		if !cut {
			d.conns[conn] = true
		}
		d.mu.Unlock()
		if !cut {
			return conn, nil
		}
		reset(conn)
	}
}

func (d *door) track(conn net.Conn, state http.ConnState) {
	if state == http.StateClosed || state == http.StateHijacked {
		d.mu.Lock()
		delete(d.conns, conn)
		d.mu.Unlock()
	}
}

// setCut cuts the way to the store, which resets its connections, or restores it.
func (d *door) setCut(cut bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cut = cut
	if !cut {
		return
	}
	for conn := range d.conns {
		reset(conn)
	}
}

// reset closes a connection with a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // the connection may be closed already
	}
	_ = conn.Close()
}
