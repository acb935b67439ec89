package dispatch

import (
	"math"
	"time"
)

const (
	// speedWindow is the time constant with which measurements of speed decay.
	speedWindow = 4 * time.Second
	// maxSpeedWeightPerSecond bounds the weight that the measurements of one host get
	// for one upstream, so that a busy host does not outvote all others.
	maxSpeedWeightPerSecond = 5.0
	// minMeasurementWeight is what a measurement is not reduced below by that bound.
	minMeasurementWeight = 0.02
)

// loadBandStarts are the shares of an upstream's slots in use from which each load band
// extends. Measurements are kept apart by band, since an upstream may slow down from
// some load on.
var loadBandStarts = [loadBands]float64{0, 0.45, 0.6, 0.75}

const loadBands = 4

// MaxSpeedSums is the number of weights and sums of measurements that a report has of one
// upstream at the most.
const MaxSpeedSums = 2 * loadBands

// loadBandOf returns the band of a share of the slots in use.
func loadBandOf(load float64) int {
	band := 0
	for band+1 < loadBands && load >= loadBandStarts[band+1] {
		band++
	}
	return band
}

// bandSum is the sum of the differences from the baseline in one load band. A positive
// difference means that the upstream is slower than the others.
type bandSum struct {
	weight, sum float64
}

// speedSums holds the measurements of one upstream by this host, as of decayedAt.
type speedSums struct {
	bands     [loadBands]bandSum
	decayedAt time.Time
	// recordedAt is when the last measurement was added.
	recordedAt time.Time
}

// decay brings the sums up to date.
func (s *speedSums) decay(now time.Time) {
	factor := speedDecay(now.Sub(s.decayedAt))
	s.decayedAt = now
	for i := range s.bands {
		s.bands[i].weight *= factor
		s.bands[i].sum *= factor
	}
}

// speedDecay returns the factor by which measurements decay in a time.
func speedDecay(age time.Duration) float64 {
	return math.Exp(-max(0, age.Seconds()) / speedWindow.Seconds())
}

// record adds a measurement at a load.
func (s *speedSums) record(now time.Time, load, difference, weight float64) {
	s.decay(now)
	sinceLast := max(0, now.Sub(s.recordedAt).Seconds())
	weight = min(weight, max(minMeasurementWeight, sinceLast*maxSpeedWeightPerSecond))
	s.recordedAt = now
	band := &s.bands[loadBandOf(load)]
	band.weight += weight
	band.sum += weight * difference
}

// Units of the sums in reports.
const (
	weightUnit     = 1.0 / 16
	differenceUnit = 1.0 / 32
	// maxWeightUnits bounds the weight in a report, so that neither of the two sums takes
	// more than maxSumBytes.
	maxWeightUnits = 32000
)

// reportedBand is a bandSum in the units of reports. Integers can be added and subtracted
// without rounding errors.
type reportedBand struct {
	weight, sum int
}

// reportedSums holds the measurements of one upstream by other hosts.
type reportedSums [loadBands]reportedBand

// inUnits returns the sums in the units of reports.
func (s *speedSums) inUnits() reportedSums {
	var r reportedSums
	for i, b := range s.bands {
		if weight := int(math.Round(b.weight / weightUnit)); weight > 0 {
			r[i] = reportedBand{weight: weight, sum: int(math.Round(b.sum / differenceUnit))}
		}
	}
	return r
}

// add adds n times the other sums.
func (r *reportedSums) add(o reportedSums, n int) {
	for i := range r {
		r[i].weight += n * o[i].weight
		r[i].sum += n * o[i].sum
	}
}

// bounded returns the band with both sums in their range.
func (b reportedBand) bounded() reportedBand {
	weight := min(maxWeightUnits, max(0, b.weight))
	maxSum := int(math.Ceil(float64(weight) * weightUnit * maxLogRatio / differenceUnit))
	return reportedBand{weight: weight, sum: min(maxSum, max(-maxSum, b.sum))}
}

// encode returns the sums as a list of weights and sums, without the empty bands at the
// end.
func (r reportedSums) encode() []int {
	used := loadBands
	for used > 0 && r[used-1].weight <= 0 {
		used--
	}
	if used == 0 {
		return nil
	}
	list := make([]int, 0, 2*used)
	for _, b := range r[:used] {
		b = b.bounded()
		list = append(list, b.weight, b.sum)
	}
	return list
}

// decodeSums returns the sums of a list. Values out of range are clamped, and values
// beyond the last band are ignored.
func decodeSums(list []int) reportedSums {
	var r reportedSums
	for i := range r {
		if 2*i+1 < len(list) {
			r[i] = reportedBand{weight: list[2*i], sum: list[2*i+1]}.bounded()
		}
	}
	return r
}
