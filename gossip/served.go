package gossip

import (
	"time"

	"mulberrydyke/catalog"
	"mulberrydyke/route"
)

// ServiceNewsTime is how long after a cut all hosts of a domain take at the most to learn that the
// platform's store has served hosts of other domains, if no message is lost: the reporters find each
// other again, take turns, and tell their own domain in the next round.
const ServiceNewsTime = formerRetryInterval + reportersPerDomain*Interval + Interval

// Served tells in which time the platform's store has served some host without a failure: the one
// that began earliest, as far as the sender knows. A host that could not reach the store learns from
// it that the store was available meanwhile.
type Served struct {
	_ struct{} `cbor:",toarray"`
	// SinceAge is the time since the first of these calls began, and AnsweredAge since the last of
	// them was answered. They are encoded in nanoseconds. AnsweredAge is not larger.
	SinceAge, AnsweredAge time.Duration
	Epoch                 route.Epoch
}

// newServed returns what a message says of a span, or nil if the span says nothing any more.
func newServed(now time.Time, s catalog.ServedSpan) *Served {
	if !s.Recent(now) {
		return nil
	}
	answered := max(0, now.Sub(s.Until))
	return &Served{SinceAge: max(answered, now.Sub(s.From)), AnsweredAge: answered, Epoch: s.Epoch}
}

// valid reports whether the ages are possible. None are valid as well.
func (s *Served) valid() bool {
	return s == nil || s.AnsweredAge >= 0 && s.SinceAge >= s.AnsweredAge
}

// span returns the span that a message told of at the given time.
func (s *Served) span(now time.Time) catalog.ServedSpan {
	if s == nil {
		return catalog.ServedSpan{}
	}
	return catalog.ServedSpan{From: now.Add(-s.SinceAge), Until: now.Add(-s.AnsweredAge), Epoch: s.Epoch}
}

// longestServed returns the span that exceeds all others of those that hosts have told of lately and
// of the given one, together with those that it goes on in. The result is empty if none says anything
// any more.
func (m *Members) longestServed(now time.Time, own catalog.ServedSpan) catalog.ServedSpan {
	var spans []catalog.ServedSpan
	if own.Recent(now) {
		spans = append(spans, own)
	}
	for _, x := range m.members {
		if x.served.Recent(now) {
			spans = append(spans, x.served)
		}
	}
	return catalog.Longest(spans)
}

// recordStore records what a message says of the platform's store.
func (x *member) recordStore(now time.Time, msg *Message) {
	x.served = msg.Served.span(now)
	switch {
	case !msg.StoreFailing:
		x.failingSince = time.Time{}
	case x.failingSince.IsZero():
		x.failingSince = now
	}
}

// failingSince returns when the platform's store began to fail for the live hosts of the domain that
// say so. It is zero if it fails for none.
func (m *Members) failingSince(now time.Time) time.Time {
	var first time.Time
	for _, x := range m.members {
		if x.domain != m.domain || !x.live(now) || x.failingSince.IsZero() {
			continue
		}
		if first.IsZero() || x.failingSince.Before(first) {
			first = x.failingSince
		}
	}
	return first
}
