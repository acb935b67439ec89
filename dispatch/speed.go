package dispatch

import (
	"math"
	"time"
)

const (
	// estimateInterval is how often the speeds of a service's upstreams are estimated.
	estimateInterval = 250 * time.Millisecond
	// priorWeight is the weight of the assumption that an upstream is like the others.
	priorWeight = 2.0
	// significance is how many standard errors a speed has to differ from the mean to
	// count as different.
	significance = 2.5
	// minEqualSpeed and maxEqualSpeed bound the speeds that count as equal to the mean.
	minEqualSpeed = 0.8
	maxEqualSpeed = 1.2
	// minRelativeSpeed and maxRelativeSpeed bound the estimated speed.
	minRelativeSpeed = 0.25
	maxRelativeSpeed = 2.0
	// minUsedWeight is the weight below which measurements are ignored.
	minUsedWeight = 0.1
	// newWeightFactor times the weight that is left of earlier measurements, plus
	// minNewWeight, is the weight above which there are new ones. Sums in reports may be
	// 1.25 s old, in which they decay by this factor, and are rounded.
	newWeightFactor = 1.37
	minNewWeight    = 0.2
	// sparseWeight is the weight of measurements up to which they are kept for
	// sparseWindow instead of speedWindow.
	sparseWeight = 6.0
	sparseWindow = 10 * time.Second
	// unmeasuredAfter is the time without measurements after which an estimate is discarded
	// step by step, with the time constant discardWindow.
	unmeasuredAfter = 3 * time.Second
	discardWindow   = 3 * time.Second
	// foreignSumsDelay is how long, after an upstream's process was first listed, other
	// hosts may still report measurements of the process before.
	foreignSumsDelay = 3 * time.Second
)

// Learned limit of concurrent requests.
const (
	// defaultLoadLimit is the share of the slots up to which an upstream is not expected
	// to slow down.
	defaultLoadLimit = 0.9
	// minBandWeight is the weight from which a load band is compared with those below.
	minBandWeight = 2.0
	// limitExcess is the logarithm of how much slower an upstream is in a load band than
	// below it, compared with the other upstreams, when the band is above its limit.
	limitExcess = 0.22
	// limitGrowthPerSecond is the share of the slots by which a learned limit grows, so
	// that higher loads are tried again.
	limitGrowthPerSecond = 0.02
)

// learned is what is known of the speed of one upstream.
type learned struct {
	// bands holds the sums of all hosts as of estimatedAt. Where reports were lost, it
	// keeps what was known before.
	bands       [loadBands]bandSum
	estimatedAt time.Time
	// measuredAt is when the last measurement was known.
	measuredAt time.Time
	// decayedWeight is what is left at estimatedAt of the weight known at measuredAt.
	decayedWeight float64
	// difference is the mean logarithm of the upstream's durations relative to the
	// baseline, and confidence how much of it counts.
	difference, confidence float64
	// excess holds by how much each load band is slower than the bands below.
	excess [loadBands]float64
	// speed is the speed relative to the mean of the service, exactly 1 if it is close.
	// It is zero until the first estimate.
	speed float64
	// loadLimit is the share of the slots up to which the upstream is not slowed down.
	// It is zero until the first estimate.
	loadLimit float64
	class     speedClass
}

// relativeSpeed returns the speed relative to the mean of the service.
func (t *target) relativeSpeed() float64 {
	if t.learned.speed == 0 {
		return 1
	}
	return t.learned.speed
}

// loadLimit returns the number of requests up to which the upstream is not expected to
// slow down.
func (t *target) loadLimit() int {
	slots := t.upstream.Slots
	if limit := t.learned.loadLimit; limit > 0 && limit < defaultLoadLimit {
		return max(1, int(limit*float64(slots)))
	}
	return slots * 9 / 10
}

// targetSpeed returns the prefill speed of an engine in tokens per millisecond, from that
// of an engine of mean speed.
func (t *target) targetSpeed(meanSpeed float64) float64 { return meanSpeed * t.relativeSpeed() }

// estimateSpeeds estimates the speeds and limits of all targets, at most once per
// estimateInterval.
func (g *targetGroup) estimateSpeeds(now time.Time) {
	if now.Sub(g.estimatedAt) < estimateInterval {
		return
	}
	g.decaySends(now.Sub(g.estimatedAt))
	g.estimatedAt = now
	for _, t := range g.targets {
		t.learn(now)
	}
	g.setLoadLimits()
	center := g.meanDifference()
	for _, t := range g.targets {
		t.setSpeed(now, center)
	}
}

// learn brings the sums of a target up to date.
func (t *target) learn(now time.Time) {
	t.speedSums.decay(now)
	known := &t.learned
	age := now.Sub(known.estimatedAt)
	factor, total := known.retention(age), 0.0
	for i := range known.bands {
		b := t.bandTotal(now, i)
		total += b.weight
		old := &known.bands[i]
		if missing := old.weight*factor - b.weight; missing > 0 {
			b.sum += missing * old.sum / old.weight
			b.weight += missing
		}
		*old = b
	}
	known.noteWeight(now, total, speedDecay(age))
	known.growLimit(age)
	known.estimatedAt = now
}

// noteWeight finds out from the weight of the reported measurements whether there are new
// ones. decay is the factor by which measurements decayed since the last call.
func (k *learned) noteWeight(now time.Time, weight, decay float64) {
	k.decayedWeight *= decay
	if weight > newWeightFactor*k.decayedWeight+minNewWeight {
		k.measuredAt, k.decayedWeight = now, weight
	}
	k.decayedWeight = min(k.decayedWeight, weight)
}

// retention returns the factor by which what is known decays in a time, unless there are
// newer measurements.
func (k *learned) retention(age time.Duration) float64 {
	window := speedWindow
	if k.below(loadBands).weight <= sparseWeight {
		window = sparseWindow
	}
	return math.Exp(-max(0, age.Seconds()) / window.Seconds())
}

// bandTotal returns the sums of all hosts in one load band.
func (t *target) bandTotal(now time.Time, i int) bandSum {
	b := t.speedSums.bands[i]
	if now.Sub(t.listedAt) < foreignSumsDelay {
		return b
	}
	reported := t.reportedSpeed(i)
	b.weight += float64(reported.weight) * weightUnit
	b.sum += float64(reported.sum) * differenceUnit
	return b
}

// growLimit raises the learned limit after a time, of which a second counts at most, so that
// a pause in the traffic does not lift the limit at once.
func (k *learned) growLimit(age time.Duration) {
	if k.loadLimit == 0 {
		k.loadLimit = defaultLoadLimit
		return
	}
	k.loadLimit = min(defaultLoadLimit, k.loadLimit+limitGrowthPerSecond*min(1, max(0, age.Seconds())))
}

// below returns the sum of the bands under the given one.
func (k *learned) below(band int) bandSum {
	var sum bandSum
	for _, b := range k.bands[:band] {
		sum.weight += b.weight
		sum.sum += b.sum
	}
	return sum
}

// comparable reports whether a band has enough measurements to be compared with those
// below.
func (k *learned) comparable(band int) bool {
	return k.bands[band].weight >= minBandWeight && k.below(band).weight >= minBandWeight
}

// setLoadLimits lowers the limits of the targets that are slower from some load on than
// below, if the other targets are not.
func (g *targetGroup) setLoadLimits() {
	for band := 1; band < loadBands; band++ {
		sum, weight := 0.0, 1.0
		for _, t := range g.targets {
			k := &t.learned
			k.excess[band] = 0
			if !k.comparable(band) {
				continue
			}
			lower := k.below(band)
			k.excess[band] = k.bands[band].sum/k.bands[band].weight - lower.sum/lower.weight
			sum += k.excess[band]
			weight++
		}
		for _, t := range g.targets {
			if t.learned.exceeds(band, sum/weight) {
				t.learned.loadLimit = min(t.learned.loadLimit, loadBandStarts[band])
			}
		}
	}
}

// exceeds reports whether a band is clearly slower than those below, by more than is
// usual for the service.
func (k *learned) exceeds(band int, usual float64) bool {
	if !k.comparable(band) {
		return false
	}
	standardError := math.Sqrt(unitVariance/k.bands[band].weight + unitVariance/k.below(band).weight)
	return k.excess[band]-usual > max(limitExcess, significance*standardError)
}

// summarize computes the difference and its confidence from the bands up to the limit,
// and from all bands if there are too few measurements below it.
func (k *learned) summarize() {
	limitBand := loadBandOf(k.loadLimit)
	used := k.below(loadBands)
	if lower := k.below(max(1, limitBand)); k.excess[limitBand] > limitExcess && lower.weight >= minBandWeight {
		used = lower
	}
	k.difference, k.confidence = 0, 0
	if used.weight < minUsedWeight {
		return
	}
	k.difference = used.sum / used.weight
	k.confidence = used.weight / (used.weight + priorWeight)
	if unmeasured := k.estimatedAt.Sub(k.measuredAt) - unmeasuredAfter; unmeasured > 0 {
		k.confidence *= math.Exp(-unmeasured.Seconds() / discardWindow.Seconds())
	}
}

// meanDifference returns the mean difference of the targets, each weighted with its
// confidence.
func (g *targetGroup) meanDifference() float64 {
	sum, weight := 0.0, 0.0
	for _, t := range g.targets {
		k := &t.learned
		k.summarize()
		sum += k.confidence * k.difference
		weight += k.confidence
	}
	if weight == 0 {
		return 0
	}
	return sum / weight
}

// setSpeed sets the speed of a target from its difference to the mean of its service.
func (t *target) setSpeed(now time.Time, center float64) {
	k := &t.learned
	deviation := k.difference - center
	k.speed = 1
	standardError := math.Sqrt(unitVariance / max(minUsedWeight, k.below(loadBands).weight))
	estimate := math.Exp(-k.confidence * deviation)
	if math.Abs(deviation) > significance*standardError && (estimate < minEqualSpeed || estimate > maxEqualSpeed) {
		k.speed = min(maxRelativeSpeed, max(minRelativeSpeed, estimate))
	}
	k.class.update(now, k.speed)
}
