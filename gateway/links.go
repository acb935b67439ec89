package gateway

import (
	"sync"
	"time"

	"mulberrydyke/link"
	"mulberrydyke/plan"
	"mulberrydyke/route"
)

// ConnPools holds one connection pool for each upstream.
type ConnPools struct {
	mu    sync.Mutex
	pools map[plan.UpstreamID]*poolEntry
}

// poolEntry is a pool and the address and start time of the upstream process that
// it connects to.
type poolEntry struct {
	pool      *link.Pool
	cleanup   func()
	address   string
	startedAt time.Time
}

// NewConnPools returns an empty set of pools and its cleanup function.
func NewConnPools() (*ConnPools, func()) {
	pools := &ConnPools{pools: map[plan.UpstreamID]*poolEntry{}}
	return pools, func() { pools.Prune(&route.Upstreams{}) }
}

// Get returns the pool of an upstream. An upstream that has restarted or moved to
// another address gets a new pool.
func (p *ConnPools) Get(u *route.Upstream) *link.Pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	entry := p.pools[u.ID]
	if entry != nil && entry.address == u.Address && entry.startedAt.Equal(u.StartedAt) {
		return entry.pool
	}
	if entry != nil {
		entry.cleanup()
	}
	entry = &poolEntry{address: u.Address, startedAt: u.StartedAt}
	entry.pool, entry.cleanup = link.NewPool(u.Address)
	p.pools[u.ID] = entry
	return entry.pool
}

// Prune closes the idle connections to upstreams that are draining, and removes the pools of
// those that are no longer listed. Connections in use are closed when they are returned.
func (p *ConnPools) Prune(upstreams *route.Upstreams) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, entry := range p.pools {
		u := upstreams.ByID[id]
		switch {
		case u == nil:
			entry.cleanup()
			delete(p.pools, id)
		case u.State != route.Ready:
			entry.pool.CloseIdle()
		}
	}
}

// ConnsOpened returns how many connections the present pools have opened.
func (p *ConnPools) ConnsOpened() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, entry := range p.pools {
		n += entry.pool.ConnsOpened()
	}
	return n
}
