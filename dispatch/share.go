package dispatch

import (
	"math"
	"time"

	"mulberrydyke/route"
)

const (
	// sendWindow is the time constant with which the number of recent requests decays.
	sendWindow = 2 * time.Second
	// maxShareCost is by how many milliseconds another upstream may cost more than a
	// slow one that has had its share.
	maxShareCost = 50.0
)

// decaySends reduces the numbers of recent requests after a time.
func (g *targetGroup) decaySends(age time.Duration) {
	factor := math.Exp(-max(0, age.Seconds()) / sendWindow.Seconds())
	for _, t := range g.targets {
		t.plainSends *= factor
	}
}

// hadShare reports whether a slow upstream of a plain service has had its share of this
// host's requests: its speed times what the other upstreams of its domain got on average.
// Idle upstreams all cost the same, so that the cost alone would send it more.
func (g *targetGroup) hadShare(t *target) bool {
	speed := t.relativeSpeed()
	if speed >= 1 {
		return false
	}
	sum, n := 0.0, 0
	for _, other := range g.targets {
		if other.relativeSpeed() >= 1 && other.upstream.State == route.Ready && other.upstream.Domain == t.upstream.Domain {
			sum += other.plainSends / other.relativeSpeed()
			n++
		}
	}
	return n > 0 && t.plainSends > speed*sum/float64(n)
}

// replacedBy returns the other choice, or this one if there is no other or it costs far more.
func (c choice) replacedBy(other choice) choice {
	if other.target == nil || other.cost > c.cost+maxShareCost {
		return c
	}
	other.candidates = c.candidates
	return other
}
