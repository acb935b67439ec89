package dispatch

import (
	"math/bits"
	"time"
)

const (
	// slowSpeed is the speed below which an upstream counts as slow, and verySlowSpeed
	// that below which it counts as very slow.
	slowSpeed     = 0.75
	verySlowSpeed = 0.45
	// classMargin is the factor by which the speed has to be above the bound of a class
	// to leave it.
	classMargin = 1.15
	// classChangeDelay is how long the speed has to call for another class before it
	// changes. A change moves prefixes to other engines.
	classChangeDelay = 3 * time.Second
)

// slowness is a coarse class of speed.
type slowness int

const (
	notSlow slowness = iota
	slow
	verySlow
)

// capacity returns the load that an upstream of a class takes, relative to one that is
// not slow.
func (s slowness) capacity() float64 {
	return [...]float64{1, 0.6, 0.35}[s]
}

// weigh returns the hash of an upstream with the weight of its class for rendezvous
// hashing: as a fraction of the largest hash, the hash raised to the power of the
// inverse of the weight, which is 1, 1/2 or 1/4.
func (s slowness) weigh(hash uint64) uint64 {
	for range s {
		hash, _ = bits.Mul64(hash, hash)
	}
	return hash
}

// slownessOf returns the class of a speed, for an upstream that is in a class now.
func slownessOf(speed float64, now slowness) slowness {
	bounds := [...]float64{slow: slowSpeed, verySlow: verySlowSpeed}
	for class := verySlow; class > notSlow; class-- {
		bound := bounds[class]
		if now >= class {
			bound *= classMargin
		}
		if speed < bound {
			return class
		}
	}
	return notSlow
}

// speedClass is the class of an upstream, which changes only after its speed has called
// for another one for some time.
type speedClass struct {
	current slowness
	// changingSince is when the speed began to call for another class. It is zero while
	// it calls for the present one.
	changingSince time.Time
}

// update updates the class from the present speed.
func (c *speedClass) update(now time.Time, speed float64) {
	next := slownessOf(speed, c.current)
	if next == c.current {
		c.changingSince = time.Time{}
		return
	}
	if c.changingSince.IsZero() {
		c.changingSince = now
	}
	if now.Sub(c.changingSince) >= classChangeDelay {
		c.current, c.changingSince = next, time.Time{}
	}
}

// SlowUpstreams returns the number of upstreams that count as slow compared with the
// other upstreams of their service.
func (b *Balancer) SlowUpstreams() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, t := range b.targets {
		if t.learned.class.current != notSlow {
			n++
		}
	}
	return n
}
