package pool

import "mulberrydyke/plan"

// Status is the state of a scheduler as operators see it.
type Status struct {
	Pool         ID                `json:"pool"`
	Queued       map[plan.Tier]int `json:"queued"`
	Running      int               `json:"running"`
	QueueWork    Work              `json:"queue-work"`
	MaxQueueWork Work              `json:"queue-most"`
	Upstreams    []UpstreamStatus  `json:"upstreams"`
}

// UpstreamStatus is the state of one upstream as operators see it.
type UpstreamStatus struct {
	ID            plan.UpstreamID `json:"id"`
	Live          bool            `json:"live"`
	Health        string          `json:"health"`
	Limit         float64         `json:"limit"`
	InFlight      int             `json:"in-flight"`
	BetweenTokens plan.Duration   `json:"between-tokens"`
}

// Status returns the current state. The Pool field is left for the caller to set.
func (s *Scheduler) Status() Status {
	out := Status{
		Queued:       map[plan.Tier]int{},
		Running:      len(s.runs),
		QueueWork:    s.queuedWork(),
		MaxQueueWork: s.maxQueuedWork(),
	}
	for t := plan.HighestTier; t <= plan.LowestTier; t++ {
		n := s.tiers[t].count
		if s.tiers[t].floorSlot != nil {
			n++
		}
		if n > 0 {
			out.Queued[t] = n
		}
	}
	for _, b := range s.backends {
		out.Upstreams = append(out.Upstreams, UpstreamStatus{
			ID: b.id, Live: b.live, Health: b.health.String(), Limit: b.limit,
			InFlight: b.inFlight, BetweenTokens: plan.Duration(b.tokenInterval),
		})
	}
	return out
}

// String returns the name of the state as operators see it.
func (h health) String() string {
	switch h {
	case healthy:
		return "healthy"
	case down:
		return "down"
	case probation:
		return "probation"
	}
	return "unknown"
}
