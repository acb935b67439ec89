// Package ratelimit keeps the requests of all hosts together within the rates that
// upstreams announce, without a coordinator. A Table holds what upstreams said of their
// limits, to this host or to others. Each rate is divided into parts, and Holders finds the
// host that gives out permits for each of them. There a Grantor decides on the asks of the
// other hosts, which remember its answers in an Asker. A Limiter holds all of these.
//
// Nothing here has a clock or does I/O: the current time is an argument. How hosts send each
// other limits and asks is up to package gossip.
package ratelimit

import (
	"fmt"
	"math"
	"strconv"
)

// Rate is a number of requests per second that an upstream takes from all hosts together.
type Rate float64

// NoLimit is the rate of an upstream that announces none.
const NoLimit Rate = 0

const (
	// minRate replaces lower rates. A request now and then has to go to the upstream,
	// since only its answers tell that the limit has ended.
	minRate Rate = 0.2
	// maxRate is the highest rate that counts as a limit.
	maxRate Rate = 100_000
)

// RateError reports an announced rate that is malformed or doubtful.
type RateError struct {
	// Text is the rate as it was announced.
	Text   string
	Reason string
}

func (e *RateError) Error() string { return fmt.Sprintf("rate limit %q: %s", e.Text, e.Reason) }

// NewRate returns the rate for an announced number of requests per second. Numbers below
// minRate, zero included, count as minRate. It returns a *RateError for numbers that are
// negative, infinite or above maxRate.
func NewRate(perSecond float64) (Rate, error) {
	text := strconv.FormatFloat(perSecond, 'g', -1, 64)
	switch {
	case math.IsNaN(perSecond) || math.IsInf(perSecond, 0):
		return NoLimit, &RateError{Text: text, Reason: "not a finite number"}
	case perSecond < 0:
		return NoLimit, &RateError{Text: text, Reason: "negative"}
	case perSecond > float64(maxRate):
		return NoLimit, &RateError{Text: text, Reason: "too high"}
	}
	return max(minRate, Rate(perSecond)), nil
}

// stricter reports whether a rate lets fewer requests through than another.
func (r Rate) stricter(other Rate) bool {
	return r != NoLimit && (other == NoLimit || r < other)
}
