package upstream

import (
	"sync"
	"time"

	"mulberrydyke/plan"
)

// Set holds a client for each listed upstream.
type Set struct {
	silence time.Duration
	mu      sync.Mutex
	clients map[plan.UpstreamID]*entry
}

type entry struct {
	client  *Client
	cleanup func()
	address string
}

// NewSet returns an empty set and its clean-up function.
func NewSet(silence time.Duration) (*Set, func()) {
	s := &Set{silence: silence, clients: map[plan.UpstreamID]*entry{}}
	return s, func() { s.Update(&plan.Upstreams{}) }
}

// Update adopts a list of upstreams. Requests in progress go on at upstreams
// that are no longer listed.
func (s *Set) Update(list *plan.Upstreams) {
	s.mu.Lock()
	defer s.mu.Unlock()
	listed := make(map[plan.UpstreamID]bool, len(list.Upstreams))
	for _, u := range list.Upstreams {
		listed[u.ID] = true
		if e := s.clients[u.ID]; e != nil && e.address == u.Address {
			continue
		}
		s.drop(u.ID)
		client, cleanup := NewClient(u, s.silence)
		s.clients[u.ID] = &entry{client: client, cleanup: cleanup, address: u.Address}
	}
	for id := range s.clients {
		if !listed[id] {
			s.drop(id)
		}
	}
}

func (s *Set) drop(id plan.UpstreamID) {
	if e := s.clients[id]; e != nil {
		e.cleanup()
		delete(s.clients, id)
	}
}

// Client returns the client of an upstream, and false where none is listed.
func (s *Set) Client(id plan.UpstreamID) (*Client, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.clients[id]
	if e == nil {
		return nil, false
	}
	return e.client, true
}
