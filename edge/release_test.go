package edge

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// storeItem is an entry of a mutableStore, or its removal.
type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// mutableStore is a stand-in for the platform's store whose entries change.
type mutableStore struct {
	*httptest.Server
	mu       sync.Mutex
	items    map[string]storeItem
	history  []storeItem
	revision uint64
}

func newMutableStore(t *testing.T, table string) *mutableStore {
	t.Helper()
	s := &mutableStore{items: map[string]storeItem{}}
	s.put("op/config", table)
	s.Server = httptest.NewServer(s)
	t.Cleanup(s.Close)
	return s
}

func (s *mutableStore) address() netip.AddrPort {
	return netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
}

// put writes an entry, or removes it if the value is "".
func (s *mutableStore) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it := storeItem{Key: key, Value: []byte(value), Revision: s.revision, Deleted: value == ""}
	s.items[key] = it
	if it.Deleted {
		delete(s.items, key)
	}
	s.history = append(s.history, it)
}

// list writes the entry of an upstream that is ready.
func (s *mutableStore) list(id, address string) {
	s.put("servers/"+id, fmt.Sprintf(`{"service":"pool","address":%q,"zone":"a","version":"v","slots":4,"state":"ready","coldRemainingMs":0,"sequence":1}`, address))
}

// ServeHTTP implements http.Handler.
func (s *mutableStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/kv-watch" {
		time.Sleep(20 * time.Millisecond)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
	items, events := []storeItem{}, []storeItem{}
	for _, it := range s.items {
		items = append(items, it)
	}
	for _, it := range s.history {
		if it.Revision > after {
			events = append(events, it)
		}
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "events": events, "asOf": s.revision})
}

const releaseTable = `{"version":1,"routes":[{"name":"r","host":"127.0.0.4","prefix":"/","kind":"non_idempotent","timeoutMs":5000,"service":"pool","maxAttempts":1}]}`

// TestRollingReleaseLosesNoRequest replaces all upstreams one after the other. Each says only in
// its answers that it is draining, and its entry goes later. It guards against requests that are
// lost or refused because of that, and against ones that reach a draining upstream too late.
func TestRollingReleaseLosesNoRequest(t *testing.T) {
	store := newMutableStore(t, releaseTable)
	const n = 3
	var old []*drainingUpstream
	for i := range n {
		old = append(old, newDrainingUpstream(t))
		store.list(fmt.Sprintf("old-%d", i), old[i].address())
	}
	urls := startFleet(t, 6, store.address())
	time.Sleep(500 * time.Millisecond)
	callers := newDrainCaller()
	var traffic sync.WaitGroup
	traffic.Go(func() { callers.run(urls, 100, n*1500*time.Millisecond+drainBound+time.Second) })
	for i, u := range old {
		store.list(fmt.Sprintf("new-%d", i), newDrainingUpstream(t).address())
		time.Sleep(500 * time.Millisecond)
		u.draining.Store(true)
		time.Sleep(time.Second)
		store.put(fmt.Sprintf("servers/old-%d", i), "")
	}
	traffic.Wait()
	for i, u := range old {
		if late := callers.late(u); len(late) > 0 {
			t.Errorf("%d requests reached upstream %d too late", len(late), i)
		}
	}
	if callers.failed > 0 {
		t.Errorf("%d of %d requests were not served", callers.failed, len(callers.sent))
	}
}

// TestAllUpstreamsDrainAtOnce guards against hosts that send requests to draining upstreams since
// there are no others, and against hosts that don't use new ones at once.
func TestAllUpstreamsDrainAtOnce(t *testing.T) {
	store := newMutableStore(t, releaseTable)
	old := []*drainingUpstream{newDrainingUpstream(t), newDrainingUpstream(t)}
	for i, u := range old {
		store.list(fmt.Sprintf("old-%d", i), u.address())
		u.draining.Store(true)
	}
	urls := startFleet(t, 3, store.address())
	callers := newDrainCaller()
	callers.run(urls, 60, drainBound+time.Second)
	if callers.failed == 0 {
		t.Error("no request was refused though all upstreams are draining")
	}
	for i, u := range old {
		if late := callers.late(u); len(late) > 0 {
			t.Errorf("%d requests reached upstream %d too late", len(late), i)
		}
	}
	store.list("new", newDrainingUpstream(t).address())
	time.Sleep(time.Second)
	refused := callers.failed
	callers.run(urls, 60, time.Second)
	if callers.failed > refused {
		t.Errorf("%d requests were not served by the new upstream", callers.failed-refused)
	}
}
