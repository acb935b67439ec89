package gateway

import (
	"sync"
	"time"

	"mulberrydyke/link"
	"mulberrydyke/plan"
	"mulberrydyke/route"
)

// ConnPools holds one pool of connections for each upstream.
type ConnPools struct {
	mu    sync.Mutex
	pools map[plan.UpstreamID]*linkEntry
}

type linkEntry struct {
	pool    *link.Pool
	cleanup func()
	address string
	born    time.Time
}

// NewConnPools returns an empty set and its clean-up function.
func NewConnPools() (*ConnPools, func()) {
	l := &ConnPools{pools: map[plan.UpstreamID]*linkEntry{}}
	return l, func() { l.Prune(&route.Upstreams{}) }
}

// Get returns the pool of an upstream. An upstream that started again gets a new
// one.
func (l *ConnPools) Get(u *route.Upstream) *link.Pool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.pools[u.ID]
	if e != nil && e.address == u.Address && e.born.Equal(u.Born) {
		return e.pool
	}
	if e != nil {
		e.cleanup()
	}
	e = &linkEntry{address: u.Address, born: u.Born}
	e.pool, e.cleanup = link.NewPool(u.Address)
	l.pools[u.ID] = e
	return e.pool
}

// Prune closes the idle connections to upstreams that are not listed any more.
func (l *ConnPools) Prune(v *route.Upstreams) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, e := range l.pools {
		if v.ByID[id] == nil {
			e.cleanup()
			delete(l.pools, id)
		}
	}
}

// ConnsOpened returns how many connections were opened to the listed upstreams.
func (l *ConnPools) ConnsOpened() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, e := range l.pools {
		n += e.pool.ConnsOpened()
	}
	return n
}
