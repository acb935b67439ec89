package catalog

import (
	"time"

	"mulberrydyke/plan"
	"mulberrydyke/route"
)

// Upstreams returns the upstreams as an immutable value. Those of evacuated failure domains are
// in the state route.Evacuated, unless they are draining.
func (c *Catalog) Upstreams() *route.Upstreams {
	v := &route.Upstreams{Position: c.position, ByID: make(map[plan.UpstreamID]*route.Upstream, len(c.upstreams))}
	for id, u := range c.upstreams {
		v.ByID[id] = c.present(u)
	}
	return v
}

// present returns an upstream as the evacuation of its domain has it.
func (c *Catalog) present(u *route.Upstream) *route.Upstream {
	x, ok := c.evacuations.byDomain[u.Domain]
	if !ok {
		return u
	}
	out := *u
	switch {
	case !x.ended && u.State == route.Ready:
		out.State = route.Evacuated
	case x.ended:
		if until := x.endedAt.Add(c.coldStart(u.Service)); until.After(x.endedAt) && until.After(u.ColdUntil) {
			out.ColdUntil = until
		}
	}
	return &out
}

// coldStart returns how long the upstreams of a service are cold after an evacuation.
func (c *Catalog) coldStart(id plan.ServiceID) time.Duration {
	if c.table == nil || c.table.Services[id] == nil {
		return 0
	}
	return max(0, min(c.table.Services[id].ColdStart, maxColdTime))
}

// endedRetention returns how long the end of an evacuation is remembered: at least as long as
// upstreams are cold after it.
func (c *Catalog) endedRetention() time.Duration {
	retention := endedRetention
	if c.table == nil {
		return retention
	}
	for id := range c.table.Services {
		retention = max(retention, c.coldStart(id))
	}
	return retention
}

// TableShowsInUpstreams reports whether another table may change the upstreams: while domains
// were taken back lately, it names how long their upstreams are cold.
func (c *Catalog) TableShowsInUpstreams() bool {
	for _, x := range c.evacuations.byDomain {
		if x.ended {
			return true
		}
	}
	return false
}
