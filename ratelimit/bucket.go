package ratelimit

import "time"

// burstTime is the time for which permits that nobody takes are saved, besides one.
const burstTime = 800 * time.Millisecond

// Bucket is a token bucket of permits. Its zero value is not usable.
type Bucket struct {
	rate     Rate
	capacity float64
	tokens   float64
	filledAt time.Time
}

// NewBucket returns a bucket that holds a number of permits, which may be a fraction.
func NewBucket(now time.Time, tokens float64) Bucket { return Bucket{tokens: tokens, filledAt: now} }

// Refill adds the permits that have accrued, at the rate that held until now or the given
// one, whichever is lower.
func (b *Bucket) Refill(now time.Time, rate Rate) { b.refill(now, rate, capacityOf(rate)) }

// refill is Refill for a bucket that holds a number of permits at most. A time before that of
// the last refill, from a caller that was paused, adds nothing.
func (b *Bucket) refill(now time.Time, rate Rate, capacity float64) {
	accrualRate := rate
	if b.rate != 0 {
		accrualRate = min(rate, b.rate)
	}
	b.rate, b.capacity = rate, capacity
	if elapsed := now.Sub(b.filledAt); elapsed > 0 {
		b.tokens += float64(accrualRate) * elapsed.Seconds()
		b.filledAt = now
	}
	b.tokens = min(b.capacity, b.tokens)
}

// capacityOf returns how many permits a bucket for an announced rate holds at most.
func capacityOf(rate Rate) float64 { return 1 + float64(rate)*burstTime.Seconds() }

// headStart returns for how long a permit may be kept for some requests, out of the given time.
// That is less in a bucket that is full soon, since a full bucket loses permits.
func (b *Bucket) headStart(longest time.Duration) time.Duration {
	untilFull := time.Duration((b.capacity - 1) / float64(b.rate) * float64(time.Second))
	return min(longest, untilFull/2)
}

// Saved returns for how long the bucket has held a permit, by its last refill. It is not
// more than the time in which a bucket with one permit fills.
func (b *Bucket) Saved() time.Duration {
	return time.Duration(max(0, b.tokens-1) / float64(b.rate) * float64(time.Second))
}

// Wait returns the time until the bucket holds a permit, by its last refill.
func (b *Bucket) Wait() time.Duration {
	if b.tokens >= 1 {
		return 0
	}
	return time.Duration((1 - b.tokens) / float64(b.rate) * float64(time.Second))
}

// Take takes a permit, also one that has yet to accrue.
func (b *Bucket) Take() { b.tokens-- }
