package route

import (
	"maps"
	"time"

	"mulberrydyke/plan"
)

// State is the state that an upstream reports of itself.
type State int

// States of an upstream.
const (
	// Ready upstreams accept requests.
	Ready State = iota
	// Draining upstreams finish their running requests and accept no new ones.
	Draining
	// Evacuated upstreams get no requests until the operators take their failure domain back.
	Evacuated
)

// Upstream is a back end as the platform lists it.
type Upstream struct {
	ID      plan.UpstreamID
	Service plan.ServiceID
	// Address is an IP address with a port.
	Address string
	Domain  plan.DomainID
	State   State
	Slots   int
	// ColdRemaining is how long the upstream said that it stays cold when it wrote its entry.
	ColdRemaining time.Duration
	// ColdUntil is how long the upstream counts as cold: until then it takes requests only at the
	// cold rate of its service.
	ColdUntil time.Time
	// StartedAt is when the upstream's process started. It changes when an
	// upstream restarts under the same ID.
	StartedAt time.Time
	// Sequence counts the writes of the process to its entry.
	Sequence int64
	// Position is the place of this entry in the platform's changes.
	Position Position
}

// ProcessKey identifies one run of an upstream's process among those of all upstreams. It is a
// hash of the upstream's ID and start time, and never zero.
type ProcessKey uint64

// ProcessKey returns the key of the process that the entry describes.
func (u *Upstream) ProcessKey() ProcessKey {
	return ProcessKey(Hash("process", string(u.ID), u.StartedAt.UTC().Format(time.RFC3339Nano)) | 1)
}

// Upstreams is the list of all upstreams at one position in the platform's changes.
type Upstreams struct {
	Position Position
	// ByID is not modified once the list is published.
	ByID map[plan.UpstreamID]*Upstream
}

// WithDraining returns the list in which the upstreams for which draining returns true are in
// that state. It returns the list itself if that changes nothing.
func (u *Upstreams) WithDraining(draining func(ProcessKey) bool) *Upstreams {
	changed := map[plan.UpstreamID]*Upstream{}
	for id, x := range u.ByID {
		if x.State == Draining || !draining(x.ProcessKey()) {
			continue
		}
		y := *x
		y.State = Draining
		changed[id] = &y
	}
	if len(changed) == 0 {
		return u
	}
	out := &Upstreams{Position: u.Position, ByID: maps.Clone(u.ByID)}
	maps.Copy(out.ByID, changed)
	return out
}
