package dispatch

import (
	"math"
	"time"
)

const (
	// baselineDecay is the least factor by which a new measurement reduces the weight of
	// the earlier ones in a baseline, so that rare measurements are kept for longer than
	// baselineWindow.
	baselineDecay = 0.99
	// baselineWindow is the time constant with which frequent measurements decay.
	baselineWindow = 10 * time.Second
	// minBaselineWeight is the weight of the measurements below which a baseline is not used.
	minBaselineWeight = 5
	// slopeRidge is the weight of the assumed slopes. It keeps the slopes stable while all
	// measurements are made at about the same load.
	slopeRidge = 0.3
	// maxSlope bounds the slopes of a baseline.
	maxSlope = 2.0
	// initialVariance is the variance of measurements that is assumed with
	// initialVarianceWeight until it has been measured.
	initialVariance       = 0.06
	initialVarianceWeight = 10
	// unitVariance is the variance at which a measurement has weight 1.
	unitVariance = 0.04
	// fullLogRatio is the logarithm of how much longer a measurement may be than its
	// baseline to count in full, so that the noise of a moment counts less than a speed
	// that stays low.
	fullLogRatio = 0.5
	// maxLogRatio bounds the logarithm of how far a measurement may differ from its
	// baseline.
	maxLogRatio = 0.9
)

// measurementKind tells measurements apart that can't be compared with each other.
type measurementKind int

const (
	// plainLatency is the response time of a plain service.
	plainLatency measurementKind = iota
	// eventGap is the mean gap between the events of a stream.
	eventGap
	// shortFirstEvent and longFirstEvent are the times to first events of short and of
	// long prompts, relative to the expected time.
	shortFirstEvent
	longFirstEvent
	measurementKinds
)

// relativeLoad is the load of an upstream under which a measurement is made.
type relativeLoad struct {
	// slots is the share of the slots in use. prefill is the logarithm of the factor by
	// which an engine of mean speed is slower because it prefills the arriving prompts.
	slots, prefill float64
}

// mean returns the mean of two loads.
func (l relativeLoad) mean(o relativeLoad) relativeLoad {
	return relativeLoad{slots: (l.slots + o.slots) / 2, prefill: (l.prefill + o.prefill) / 2}
}

// assumedSlopes returns by how much the logarithm of a measurement is assumed to grow
// from an idle upstream to one that is fully used.
func (k measurementKind) assumedSlopes() relativeLoad {
	if k == eventGap {
		return relativeLoad{slots: 0.4, prefill: 1}
	}
	return relativeLoad{}
}

// baseline is the expected logarithm of a duration as a linear function of the load,
// fitted to the measurements of all upstreams of a service.
type baseline struct {
	// weight is the decayed number of measurements, and sumY the sum of their logarithms.
	weight, sumY float64
	// sum and squaredSum are the sums of the loads and of their squares, and withY those of
	// the loads times the logarithm of the measurement.
	sum, squaredSum, withY relativeLoad
	// sumMixed is the sum of the products of both parts of the load.
	sumMixed float64
	// squaredResiduals is the sum of the squared residuals.
	squaredResiduals float64
	recordedAt       time.Time
}

// slopes returns the slopes of the fit.
func (b *baseline) slopes(assumed relativeLoad) relativeLoad {
	slots, prefill := b.sum.slots/b.weight, b.sum.prefill/b.weight
	varSlots := max(0, b.squaredSum.slots-b.sum.slots*slots) + slopeRidge
	varPrefill := max(0, b.squaredSum.prefill-b.sum.prefill*prefill) + slopeRidge
	mixed := b.sumMixed - b.sum.slots*prefill
	slotsY := b.withY.slots - b.sumY*slots + slopeRidge*assumed.slots
	prefillY := b.withY.prefill - b.sumY*prefill + slopeRidge*assumed.prefill
	determinant := varSlots*varPrefill - mixed*mixed
	return relativeLoad{
		slots:   min(maxSlope, max(0, (slotsY*varPrefill-prefillY*mixed)/determinant)),
		prefill: min(maxSlope, max(0, (prefillY*varSlots-slotsY*mixed)/determinant)),
	}
}

// expected returns the expected value at a load. It returns false while too few
// measurements are known.
func (b *baseline) expected(load, assumed relativeLoad) (float64, bool) {
	if b.weight < minBaselineWeight {
		return 0, false
	}
	slopes := b.slopes(assumed)
	slots, prefill := load.slots-b.sum.slots/b.weight, load.prefill-b.sum.prefill/b.weight
	return b.sumY/b.weight + slopes.slots*slots + slopes.prefill*prefill, true
}

// variance returns the variance of the measurements about the baseline.
func (b *baseline) variance() float64 {
	return (b.squaredResiduals + initialVarianceWeight*initialVariance) / (b.weight + initialVarianceWeight)
}

// record adds a measurement at a load. known is what is already known of how far the
// upstream differs from the others. It returns the difference from the baseline and the
// weight of the measurement, which is zero while too few measurements are known.
func (b *baseline) record(now time.Time, load relativeLoad, value, known float64, assumed relativeLoad) (difference, weight float64) {
	adjusted, residual := value-known, 0.0
	if expected, ok := b.expected(load, assumed); ok {
		difference = bounded(compressed(value-expected), maxLogRatio)
		weight = min(1, unitVariance/b.variance())
		residual = bounded(adjusted-expected, maxLogRatio)
		adjusted = expected + residual
	}
	b.scale(max(baselineDecay, math.Exp(-max(0, now.Sub(b.recordedAt).Seconds())/baselineWindow.Seconds())))
	b.recordedAt = now
	b.weight++
	b.sumY += adjusted
	b.sum.slots += load.slots
	b.sum.prefill += load.prefill
	b.squaredSum.slots += load.slots * load.slots
	b.squaredSum.prefill += load.prefill * load.prefill
	b.sumMixed += load.slots * load.prefill
	b.withY.slots += load.slots * adjusted
	b.withY.prefill += load.prefill * adjusted
	b.squaredResiduals += residual * residual
	return difference, weight
}

// scale multiplies all sums by a factor, so that earlier measurements count less.
func (b *baseline) scale(factor float64) {
	for _, sum := range []*float64{
		&b.weight, &b.sumY, &b.sum.slots, &b.sum.prefill, &b.squaredSum.slots, &b.squaredSum.prefill,
		&b.withY.slots, &b.withY.prefill, &b.sumMixed, &b.squaredResiduals,
	} {
		*sum *= factor
	}
}

// bounded returns the value, or the bound with the sign of the value if it is beyond it.
func bounded(value, bound float64) float64 { return min(bound, max(-bound, value)) }

// compressed returns a difference of which only half counts above fullLogRatio.
func compressed(difference float64) float64 {
	return difference - max(0, difference-fullLogRatio)/2
}

// logMilliseconds returns the logarithm of a duration in milliseconds.
func logMilliseconds(ms float64) float64 { return math.Log(max(0.01, ms)) }
