package edge

import (
	"time"

	"mulberrydyke/ratelimit"
	"mulberrydyke/route"
)

// refreshCold limits the requests to the upstreams that are cold by the list and the table in
// force.
func (h *Host) refreshCold(upstreams *route.Upstreams) {
	table := h.table.Load()
	if table == nil {
		return
	}
	bounds := h.bounds.Load()
	cold := ratelimit.ListCold(upstreams, table.Services, bounds.ColdOvershoot, bounds.ColdSlack)
	for _, c := range h.rateLimits.SetCold(time.Now(), cold) {
		h.log.Info("upstream is cold", "upstream", string(c.Upstream), "for", time.Until(c.Until), "rate", float64(c.Limit.Rate))
	}
}

// limitsCold reports whether requests to an upstream are limited while it is cold.
func (h *Host) limitsCold(u *route.Upstream) bool {
	table := h.table.Load()
	if table == nil || u == nil {
		return false
	}
	service := table.Services[u.Service]
	return service != nil && service.ColdRate > 0
}

// recordLost treats an upstream that may have restarted as cold for some time, from the end of its
// ejection: the list may not say so yet.
func (h *Host) recordLost(u *route.Upstream, ejectedUntil time.Time) {
	table, now := h.table.Load(), time.Now()
	if table == nil || table.Services[u.Service] == nil {
		return
	}
	if ejectedUntil.Before(now) {
		ejectedUntil = now
	}
	service, bounds := table.Services[u.Service], h.bounds.Load()
	c, ok := ratelimit.NewCold(u, service, ejectedUntil.Add(service.ColdStart), bounds.ColdOvershoot, bounds.ColdSlack)
	if ok && h.rateLimits.RecordLost(now, c) {
		h.log.Info("upstream may restart cold", "upstream", string(u.ID), "for", c.Until.Sub(now), "rate", float64(c.Limit.Rate))
	}
}
