package ratelimit

import (
	"net/netip"
	"sync"
	"time"

	"mulberrydyke/route"
)

const (
	// silentTime is how long a holder that did not answer is not asked.
	silentTime = time.Second
	// askingTime is after how long another request may ask a holder again that has not
	// answered yet.
	askingTime = 20 * time.Millisecond
	// redirectTTL is how long a host is asked in place of another that named it.
	redirectTTL = 5 * time.Second
	// answerTTL is how long what a holder answered is remembered at the most.
	answerTTL = 30 * time.Second
)

// Asker remembers what the holders of upstreams' rates answered, so that a host asks only
// where it may get a permit. It is safe for concurrent use.
type Asker struct {
	holders *Holders
	mu      sync.Mutex
	answers map[answerKey]*answer
	// silent holds until when a host is not asked.
	silent map[netip.Addr]time.Time
}

type answerKey struct {
	key    route.ProcessKey
	holder netip.Addr
}

// answer is what a holder answered of an upstream.
type answer struct {
	// rate is the rate for which it was given. For another one it says nothing.
	rate Rate
	// retryAt holds for each urgency when the holder may be asked again.
	retryAt [urgencies]time.Time
	// asking is until when an ask is expected to be answered.
	asking time.Time
	// instead is the host to ask in its place, until redirectUntil.
	instead       netip.Addr
	redirectUntil time.Time
	updatedAt     time.Time
}

// NewAsker returns an Asker that knows no answers.
func NewAsker(holders *Holders) *Asker {
	return &Asker{holders: holders, answers: map[answerKey]*answer{}, silent: map[netip.Addr]time.Time{}}
}

// AvailableAt returns when a permit may be had at the earliest for a request of the given
// urgency to an upstream. It returns false if no holder is known.
func (s *Asker) AvailableAt(now time.Time, k route.ProcessKey, rate Rate, urgency int) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, at := s.next(now, k, rate, urgency)
	return at, !at.IsZero()
}

// Begin returns the holder to ask for a permit now, and records that it is asked. It
// returns false if none may be asked.
func (s *Asker) Begin(now time.Time, k route.ProcessKey, rate Rate, urgency int) (netip.Addr, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	holder, at := s.next(now, k, rate, urgency)
	if at.IsZero() || at.After(now) {
		return netip.Addr{}, false
	}
	s.answer(now, k, holder, rate).asking = now.Add(askingTime)
	return holder, true
}

// next returns the holder that may be asked first, and when. The time is zero if there is
// none. s.mu must be held.
func (s *Asker) next(now time.Time, k route.ProcessKey, rate Rate, urgency int) (netip.Addr, time.Time) {
	var first netip.Addr
	var earliest time.Time
	for _, holder := range s.holders.Of(k) {
		holder = s.redirected(now, k, holder)
		at := s.availableAt(now, k, holder, rate, urgency)
		if earliest.IsZero() || at.Before(earliest) {
			first, earliest = holder, at
		}
	}
	return first, earliest
}

// redirected returns the host that a host named in its place, or the host itself. s.mu
// must be held.
func (s *Asker) redirected(now time.Time, k route.ProcessKey, holder netip.Addr) netip.Addr {
	a := s.answers[answerKey{k, holder}]
	if a != nil && a.instead.IsValid() && now.Before(a.redirectUntil) {
		return a.instead
	}
	return holder
}

// availableAt returns when a holder may be asked, which is now if nothing speaks against it.
// s.mu must be held.
func (s *Asker) availableAt(now time.Time, k route.ProcessKey, holder netip.Addr, rate Rate, urgency int) time.Time {
	at := now
	if until := s.silent[holder]; until.After(at) {
		at = until
	}
	a := s.answers[answerKey{k, holder}]
	if a == nil {
		return at
	}
	if a.asking.After(at) {
		at = a.asking
	}
	if a.rate == rate && a.retryAt[urgency].After(at) {
		at = a.retryAt[urgency]
	}
	return at
}

// answer returns what is remembered of a holder, for an upstream with a rate. s.mu must be
// held.
func (s *Asker) answer(now time.Time, k route.ProcessKey, holder netip.Addr, rate Rate) *answer {
	a := s.answers[answerKey{k, holder}]
	if a == nil {
		s.expire(now)
		a = &answer{}
		s.answers[answerKey{k, holder}] = a
	}
	if a.rate != rate {
		*a = answer{rate: rate, instead: a.instead, redirectUntil: a.redirectUntil}
	}
	a.updatedAt = now
	return a
}

// Decided records the answer of a holder. What is denied to a request is denied to less
// urgent ones too.
func (s *Asker) Decided(now time.Time, k route.ProcessKey, holder netip.Addr, rate Rate, urgency int, d Decision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.answer(now, k, holder, rate)
	a.asking = time.Time{}
	if d.Granted {
		return
	}
	if d.Holder.IsValid() && d.Holder != holder {
		a.instead, a.redirectUntil = d.Holder, now.Add(redirectTTL)
	}
	at := now.Add(d.RetryAfter)
	for u := urgency; u < urgencies; u++ {
		if at.After(a.retryAt[u]) {
			a.retryAt[u] = at
		}
	}
}

// NotAnswered records that a holder did not answer.
func (s *Asker) NotAnswered(now time.Time, holder netip.Addr) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent[holder] = now.Add(silentTime)
}

// expire removes what is too old to matter. s.mu must be held.
func (s *Asker) expire(now time.Time) {
	for k, a := range s.answers {
		if now.Sub(a.updatedAt) > answerTTL {
			delete(s.answers, k)
		}
	}
	for h, until := range s.silent {
		if now.After(until) {
			delete(s.silent, h)
		}
	}
}
