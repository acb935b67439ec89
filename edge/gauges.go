package edge

import "time"

// registerGauges registers the gauges of the host. Those of the limits of listeners are registered with
// their limiters.
func (h *Host) registerGauges() {
	h.metrics.NewGauge("mulberrydyke_running_requests", func() float64 { return float64(h.gateway.InFlight()) })
	h.metrics.NewGauge("mulberrydyke_platform_calls_total", func() float64 { return float64(h.reader.CallCount()) })
	h.metrics.NewGauge("mulberrydyke_connections_opened_total", func() float64 { return float64(h.connPools.ConnsOpened()) })
	h.metrics.NewGauge("mulberrydyke_hosts_in_reach", func() float64 { return float64(h.gossipNode.LiveCount()) })
	h.metrics.NewGauge("mulberrydyke_peer_messages_refused_total", func() float64 { return float64(h.gossipNode.RefusedMessages()) })
	h.metrics.NewGauge("mulberrydyke_crash_suspects", func() float64 {
		suspects, _ := h.quarantine.Counts(time.Now())
		return float64(suspects)
	})
	h.metrics.NewGauge("mulberrydyke_quarantined_requests", func() float64 {
		_, quarantined := h.quarantine.Counts(time.Now())
		return float64(quarantined)
	})
	h.metrics.NewGauge("mulberrydyke_rate_limited_upstreams", func() float64 { return float64(h.rateLimits.Count(time.Now())) })
	h.metrics.NewGauge("mulberrydyke_cold_upstreams", func() float64 { return float64(h.rateLimits.ColdCount(time.Now())) })
	h.metrics.NewGauge("mulberrydyke_draining_upstreams_told", func() float64 { return float64(h.drains.Count()) })
	h.metrics.NewGauge("mulberrydyke_evacuated_domains", func() float64 { return float64(h.reader.EvacuatedDomains()) })
	h.metrics.NewGauge("mulberrydyke_slow_upstreams", func() float64 { return float64(h.balancer.SlowUpstreams()) })
	h.metrics.NewGauge("mulberrydyke_table_version", func() float64 {
		table, _ := h.Versions()
		return float64(table)
	})
}
