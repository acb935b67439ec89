package upstream

import (
	"sync"
	"time"

	"mulberrydyke/plan"
)

// Set holds a client for each listed upstream.
type Set struct {
	progressTimeout time.Duration
	options         []Option
	mu              sync.Mutex
	clients         map[plan.UpstreamID]*setEntry
}

// setEntry is a client with its cleanup function and the address it was created
// for.
type setEntry struct {
	client  *Client
	cleanup func()
	address string
}

// NewSet returns an empty set, whose clients have the given options, and its cleanup function.
func NewSet(progressTimeout time.Duration, options ...Option) (*Set, func()) {
	s := &Set{progressTimeout: progressTimeout, options: options, clients: map[plan.UpstreamID]*setEntry{}}
	return s, func() { s.Update(&plan.Upstreams{}) }
}

// Update replaces the clients by those of a list of upstreams. It keeps the client
// of an upstream whose address is unchanged. Requests in progress at upstreams
// that are no longer listed continue.
func (s *Set) Update(list *plan.Upstreams) {
	s.mu.Lock()
	defer s.mu.Unlock()
	listed := make(map[plan.UpstreamID]bool, len(list.Upstreams))
	for _, u := range list.Upstreams {
		listed[u.ID] = true
		if e := s.clients[u.ID]; e != nil && e.address == u.Address {
			continue
		}
		s.remove(u.ID)
		client, cleanup := NewClient(u, s.progressTimeout, s.options...)
		s.clients[u.ID] = &setEntry{client: client, cleanup: cleanup, address: u.Address}
	}
	for id := range s.clients {
		if !listed[id] {
			s.remove(id)
		}
	}
}

// remove cleans up and deletes the client of an upstream, if any. The lock must be
// held.
func (s *Set) remove(id plan.UpstreamID) {
	if e := s.clients[id]; e != nil {
		e.cleanup()
		delete(s.clients, id)
	}
}

// Client returns the client of an upstream, and false if the upstream is not
// listed.
func (s *Set) Client(id plan.UpstreamID) (*Client, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.clients[id]
	if e == nil {
		return nil, false
	}
	return e.client, true
}
