package gateway

import (
	"sync"
	"time"

	"mulberrydyke/link"
	"mulberrydyke/plan"
	"mulberrydyke/route"
)

// Links holds one pool of connections for each upstream.
type Links struct {
	mu    sync.Mutex
	pools map[plan.UpstreamID]*linkEntry
}

type linkEntry struct {
	pool    *link.Pool
	cleanup func()
	address string
	born    time.Time
}

// NewLinks returns an empty set and its clean-up function.
func NewLinks() (*Links, func()) {
	l := &Links{pools: map[plan.UpstreamID]*linkEntry{}}
	return l, func() { l.Keep(&route.Upstreams{}) }
}

// Of returns the pool of an upstream. An upstream that started again gets a new
// one.
func (l *Links) Of(u *route.Upstream) *link.Pool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.pools[u.ID]
	if e != nil && e.address == u.Address && e.born.Equal(u.StartedAt) {
		return e.pool
	}
	if e != nil {
		e.cleanup()
	}
	e = &linkEntry{address: u.Address, born: u.StartedAt}
	e.pool, e.cleanup = link.NewPool(u.Address)
	l.pools[u.ID] = e
	return e.pool
}

// Keep closes the idle connections to upstreams that are not listed any more.
func (l *Links) Keep(v *route.Upstreams) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, e := range l.pools {
		if v.ByID[id] == nil {
			e.cleanup()
			delete(l.pools, id)
		}
	}
}

// Opened returns how many connections were opened to the listed upstreams.
func (l *Links) Opened() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, e := range l.pools {
		n += e.pool.Opened()
	}
	return n
}
