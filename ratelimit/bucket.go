package ratelimit

import "time"

// burstTime is the time for which permits that nobody takes are saved, besides one.
const burstTime = 800 * time.Millisecond

// Bucket is a token bucket of permits. Its zero value is not usable.
type Bucket struct {
	rate     Rate
	tokens   float64
	filledAt time.Time
}

// NewBucket returns a bucket that holds a number of permits, which may be a fraction.
func NewBucket(now time.Time, tokens float64) Bucket { return Bucket{tokens: tokens, filledAt: now} }

// Refill adds the permits that have accrued, at the rate that held until now or the given
// one, whichever is lower. A time before that of the last refill, from a caller that was paused,
// adds nothing.
func (b *Bucket) Refill(now time.Time, rate Rate) {
	accrualRate := rate
	if b.rate != 0 {
		accrualRate = min(rate, b.rate)
	}
	b.rate = rate
	if elapsed := now.Sub(b.filledAt); elapsed > 0 {
		b.tokens += float64(accrualRate) * elapsed.Seconds()
		b.filledAt = now
	}
	b.tokens = min(b.capacity(), b.tokens)
}

// capacity returns how many permits the bucket holds at most.
func (b *Bucket) capacity() float64 { return 1 + float64(b.rate)*burstTime.Seconds() }

// Saved returns for how long the bucket has held a permit, by its last refill. It is not
// more than burstTime.
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
