package route

import (
	"time"

	"mulberrydyke/plan"
)

// State is what an upstream says of itself.
type State int

// States of an upstream.
const (
	// Ready upstreams take work.
	Ready State = iota
	// Leaving upstreams end what they run and take no new work.
	Draining
)

// Upstream is one back end as the platform lists it.
type Upstream struct {
	ID      plan.UpstreamID
	Service plan.ServiceID
	// Address is an IP number with a port.
	Address string
	Domain  plan.DomainID
	State   State
	Slots   int
	// Born is when the upstream's process started. It changes when an upstream
	// starts again under the same ID.
	StartedAt time.Time
	// Revision orders what was read of this upstream.
	Revision uint64
}

// Upstreams is one view of all upstreams, by ID.
type Upstreams struct {
	// Revision is the platform's revision of the view.
	Revision uint64
	// ByID never changes once the view is published.
	ByID map[plan.UpstreamID]*Upstream
}
