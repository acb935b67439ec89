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

// Estimate is a tracked quantile of a measurement.
type QuantileEstimate struct {
	_     struct{} `cbor:",toarray"`
	Value float64
	// Weight is the decayed number of measurements. Zero means none.
	Weight float64
}

// Pace is how fast engines read prompts when nothing else holds them up.
type PrefillTiming struct {
	_ struct{} `cbor:",toarray"`
	// Speed is the tokens read in a millisecond.
	Speed QuantileEstimate
	// Delay is the time in milliseconds to the first event that does not depend
	// on the prompt.
	BaseLatency QuantileEstimate
}

// measured takes up the time to the first event of a prompt. Of a long prompt,
// only its own part may have been missing from the engine's cache.
func (p *PrefillTiming) measured(missing, own int, first time.Duration) {
	span := float64(first) / float64(time.Millisecond)
	speed, delay := p.known()
	switch {
	case missing <= delayTokens:
		p.BaseLatency.track(max(1, span-float64(missing)/speed), span, delayQuantile)
	case missing >= speedTokens && missing <= own:
		p.Speed.track(float64(missing)/max(1, span-delay), speedFirst, speedQuantile)
		p.Speed.Value = min(speedMost, max(speedLeast, p.Speed.Value))
	}
}

// track moves the estimate by one sample. The first one starts from a given
// value.
func (e *QuantileEstimate) track(sample, first, quantile float64) {
	if e.Weight == 0 {
		e.Value = first
	}
	e.Weight = e.Weight*paceDecay + 1
	step := quantileStep * e.Value
	if sample > e.Value {
		e.Value += min(sample-e.Value, step*quantile)
		return
	}
	e.Value -= min(e.Value-sample, step*(1-quantile))
}

// mix returns the mean of two estimates by their weights.
func (e QuantileEstimate) mix(o QuantileEstimate) QuantileEstimate {
	total := e.Weight + o.Weight
	if total == 0 {
		return e
	}
	return QuantileEstimate{Value: (e.Value*e.Weight + o.Value*o.Weight) / total, Weight: total}
}

// mix returns the mean of two paces.
func (p PrefillTiming) mix(o PrefillTiming) PrefillTiming {
	return PrefillTiming{Speed: p.Speed.mix(o.Speed), BaseLatency: p.BaseLatency.mix(o.BaseLatency)}
}

// known returns the pace, or an assumed one where nothing was measured.
func (p PrefillTiming) known() (speed, delay float64) {
	speed = speedFirst
	if p.Speed.Weight > 0 {
		speed = p.Speed.Value
	}
	return speed, p.BaseLatency.Value
}
