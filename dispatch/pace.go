package dispatch

import "time"

const (
	// speedFirst is the assumed speed of reading prompts, in tokens a
	// millisecond, until it has been measured.
	speedFirst = 75.0
	// speedLeast and speedMost bound what is believed of a measurement.
	speedLeast = 20.0
	speedMost  = 1000.0
	// speedTokens is the fewest tokens from which the speed is measured, and
	// delayTokens the most from which the delay is.
	speedTokens = 1500
	delayTokens = 1000
	// speedQuantile and delayQuantile are the quantiles that are tracked: other
	// prompts on the engine only make a measurement slower.
	speedQuantile = 0.9
	delayQuantile = 0.1
	// quantileStep is the relative size of a step towards a quantile.
	quantileStep = 0.1
	// paceDecay is the weight that is left to earlier measurements.
	paceDecay = 0.98
)

// Pace is how fast engines read prompts when nothing else holds them up.
type Pace struct {
	_ struct{} `cbor:",toarray"`
	// Speed is the tokens read in a millisecond.
	Speed float64
	// Delay is the time in milliseconds to the first event that does not depend
	// on the prompt.
	Delay float64
	// Weight is the decayed number of measurements. Zero means none.
	Weight float64
}

// measured takes up the time to the first event of a prompt. Of a long prompt,
// only its own part may have been missing from the engine's cache.
func (p *Pace) measured(missing, own int, first time.Duration) {
	if p.Weight == 0 {
		p.Speed, p.Delay = speedFirst, float64(first)/float64(time.Millisecond)
	}
	p.Weight = p.Weight*paceDecay + 1
	span := float64(first) / float64(time.Millisecond)
	switch {
	case missing <= delayTokens:
		p.Delay = track(p.Delay, max(1, span-float64(missing)/p.Speed), delayQuantile)
	case missing >= speedTokens && missing <= own:
		sample := float64(missing) / max(1, span-p.Delay)
		p.Speed = min(speedMost, max(speedLeast, track(p.Speed, sample, speedQuantile)))
	}
}

// track moves an estimate of a quantile by one sample.
func track(estimate, sample, quantile float64) float64 {
	if sample > estimate {
		return estimate + min(sample-estimate, quantileStep*quantile*estimate)
	}
	return estimate - min(estimate-sample, quantileStep*(1-quantile)*estimate)
}

// mix returns the mean of two paces by their weights.
func (p Pace) mix(o Pace) Pace {
	total := p.Weight + o.Weight
	if total == 0 {
		return p
	}
	return Pace{
		Speed:  (p.Speed*p.Weight + o.Speed*o.Weight) / total,
		Delay:  (p.Delay*p.Weight + o.Delay*o.Weight) / total,
		Weight: total,
	}
}

// known returns the pace, or an assumed one where nothing was measured.
func (p Pace) known() (speed, delay float64) {
	if p.Weight == 0 {
		return speedFirst, 0
	}
	return p.Speed, p.Delay
}
