package dispatch

import "time"

const (
	// initialSpeed is the prefill speed, in tokens per millisecond, that is
	// assumed until it has been measured.
	initialSpeed = 75.0
	// minSpeed and maxSpeed bound the measured speed.
	minSpeed = 20.0
	maxSpeed = 1000.0
	// minSpeedSampleTokens is the lowest number of uncached tokens from which the
	// speed is measured, and maxLatencySampleTokens the highest from which the
	// base latency is.
	minSpeedSampleTokens   = 1500
	maxLatencySampleTokens = 1000
	// speedQuantile and latencyQuantile are the quantiles that are tracked. They
	// are close to the best case, because other prompts on the engine can only
	// make a measurement slower.
	speedQuantile   = 0.9
	latencyQuantile = 0.1
	// quantileStep is the size of a step towards the quantile, relative to the
	// estimate.
	quantileStep = 0.1
	// weightDecay is the factor by which each new measurement reduces the weight
	// of the earlier ones.
	weightDecay = 0.98
)

// QuantileEstimate is an estimate of a quantile that is updated with each
// measurement.
type QuantileEstimate struct {
	_     struct{} `cbor:",toarray"`
	Value float64
	// Weight is the decayed number of measurements. Zero means that there are
	// none.
	Weight float64
}

// PrefillTiming describes how fast an otherwise idle engine prefills prompts.
type PrefillTiming struct {
	_ struct{} `cbor:",toarray"`
	// Speed is the number of tokens prefilled per millisecond.
	Speed QuantileEstimate
	// BaseLatency is the part of the time to the first event, in milliseconds,
	// that does not depend on the length of the prompt.
	BaseLatency QuantileEstimate
}

// record updates the timing with the time to the first event of a prompt. A long
// prompt with more uncached than unshared tokens is skipped, because parts of it
// may have been in the engine's cache after all.
func (p *PrefillTiming) record(uncached, unshared int, elapsed time.Duration) {
	elapsedMs := float64(elapsed) / float64(time.Millisecond)
	speed, baseLatency := p.valuesOrDefault()
	switch {
	case uncached <= maxLatencySampleTokens:
		p.BaseLatency.update(max(1, elapsedMs-float64(uncached)/speed), elapsedMs, latencyQuantile)
	case uncached >= minSpeedSampleTokens && uncached <= unshared:
		p.Speed.update(float64(uncached)/max(1, elapsedMs-baseLatency), initialSpeed, speedQuantile)
		p.Speed.Value = min(maxSpeed, max(minSpeed, p.Speed.Value))
	}
}

// update moves the estimate by one sample. The first sample moves it from the
// given initial value.
func (e *QuantileEstimate) update(sample, initial, quantile float64) {
	if e.Weight == 0 {
		e.Value = initial
	}
	e.Weight = e.Weight*weightDecay + 1
	step := quantileStep * e.Value
	if sample > e.Value {
		e.Value += min(sample-e.Value, step*quantile)
		return
	}
	e.Value -= min(e.Value-sample, step*(1-quantile))
}

// merge returns the weighted mean of two estimates.
func (e QuantileEstimate) merge(o QuantileEstimate) QuantileEstimate {
	total := e.Weight + o.Weight
	if total == 0 {
		return e
	}
	return QuantileEstimate{Value: (e.Value*e.Weight + o.Value*o.Weight) / total, Weight: total}
}

// merge returns the weighted mean of two timings.
func (p PrefillTiming) merge(o PrefillTiming) PrefillTiming {
	return PrefillTiming{Speed: p.Speed.merge(o.Speed), BaseLatency: p.BaseLatency.merge(o.BaseLatency)}
}

// valuesOrDefault returns the speed and the base latency. The speed is
// initialSpeed and the latency zero until they have been measured.
func (p PrefillTiming) valuesOrDefault() (speed, baseLatency float64) {
	speed = initialSpeed
	if p.Speed.Weight > 0 {
		speed = p.Speed.Value
	}
	return speed, p.BaseLatency.Value
}
