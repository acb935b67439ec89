package pool

import "time"

// finishProbe marks an upstream on probation as healthy after a successful run,
// or as down again if it is still a straggler.
func (s *Scheduler) finishProbe(now time.Time, b *backend, tokenInterval time.Duration) {
	median := s.medianTokenInterval()
	if b.straggler && median > 0 && float64(tokenInterval) > recoveryFactor*float64(median) {
		b.markDown(now)
		return
	}
	b.markHealthy()
}

// medianTokenInterval returns the median token interval of the upstreams, or zero
// if too few have been measured.
func (s *Scheduler) medianTokenInterval() time.Duration {
	if cap(s.intervalBuf) < len(s.backends) {
		s.intervalBuf = make([]time.Duration, 0, len(s.backends))
	}
	return medianTokenInterval(s.backends, s.intervalBuf)
}

// ejectStragglers marks upstreams as down that are much slower than the median,
// as long as the unhealthy ones stay a limited fraction of the pool.
func (s *Scheduler) ejectStragglers(now time.Time) {
	median := s.medianTokenInterval()
	if median == 0 {
		return
	}
	unhealthy := 0
	for _, b := range s.backends {
		if b.health != healthy {
			unhealthy++
		}
	}
	for _, b := range s.backends {
		if float64(unhealthy+1) > max(1, maxEjectedFraction*float64(len(s.backends))) {
			return
		}
		slow := b.speedSamples >= minSpeedSamples && float64(b.tokenInterval) > stragglerFactor*float64(median)
		if b.health == healthy && slow {
			b.straggler = true
			b.markDown(now)
			unhealthy++
		}
	}
}
