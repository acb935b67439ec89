package ratelimit

import "math"

// minPartBurst is the number of permits that the holder of a part of a cold limit may save at
// least. A holder that saves just one has none left to keep for more urgent requests.
const minPartBurst = 1.5

// ColdLimit is the limit of an upstream that is cold. The zero value stands for none.
type ColdLimit struct {
	_ struct{} `cbor:",toarray"`
	// Rate is the number of requests per second that the upstream gets from all hosts together.
	Rate Rate
	// Burst is the number of permits that all holders together may save. It is at least 1, and
	// as many are kept in reserve for permits that are used later than they were granted.
	Burst float64
}

// NewColdLimit returns the limit of upstreams that are cold, for which perSecond x overshoot +
// slack requests from all hosts together are allowed in any one second. Half of what that
// leaves beyond the rate may be saved as permits. If it is too little to save one, the rate is
// lowered. The limit is zero if the rate is zero or not usable.
func NewColdLimit(perSecond, overshoot, slack float64) ColdLimit {
	rate, err := NewRate(perSecond)
	if perSecond == 0 || err != nil {
		return ColdLimit{}
	}
	excess := float64(rate)*(overshoot-1) + slack
	burst := max(0, excess/2)
	if burst < 1 {
		rate, burst = max(minRate, rate-Rate(1-burst)), 1
	}
	return ColdLimit{Rate: rate, Burst: burst}
}

// Valid reports whether a limit that was received makes sense.
func (c ColdLimit) Valid() bool {
	if c == (ColdLimit{}) {
		return true
	}
	rate, err := NewRate(float64(c.Rate))
	return err == nil && rate == c.Rate && c.Burst >= 1 && !math.IsInf(c.Burst, 0)
}

// stricter returns the limit that is as strict as both.
func (c ColdLimit) stricter(other ColdLimit) ColdLimit {
	switch {
	case c.Rate == NoLimit:
		return other
	case other.Rate == NoLimit:
		return c
	}
	return ColdLimit{Rate: min(c.Rate, other.Rate), Burst: min(c.Burst, other.Burst)}
}

// scaled returns the limit at a multiple of its rate.
func (c ColdLimit) scaled(factor float64) ColdLimit {
	return ColdLimit{Rate: min(maxRate, c.Rate*Rate(factor)), Burst: c.Burst * factor}
}

// Limit is all that limits the requests to one upstream.
type Limit struct {
	// Announced is the rate that the upstream has announced, or NoLimit.
	Announced Rate
	Cold      ColdLimit
}

// Rate returns the rate that counts, which is the stricter one, or NoLimit.
func (l Limit) Rate() Rate {
	if l.Cold.Rate.stricter(l.Announced) {
		return l.Cold.Rate
	}
	return l.Announced
}

// parts returns the number of parts that the rate is divided into, of the given ones. The
// holders of the others give out nothing.
func (l Limit) parts(n int) int {
	if l.Cold.Rate == NoLimit {
		return n
	}
	return min(n, max(1, int(l.Cold.Burst/minPartBurst)))
}

// capacity returns how many permits the holder of one of a number of parts may save.
func (l Limit) capacity(parts int) float64 {
	announced := capacityOf(l.Rate() / Rate(parts))
	if l.Cold.Rate == NoLimit {
		return announced
	}
	own := l.Cold.Burst / float64(parts)
	if l.Announced == NoLimit {
		return own
	}
	return min(own, announced)
}
