package ratelimit

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"mulberrydyke/plan"
	"mulberrydyke/route"
)

const (
	// rampTime is the time after the end of a cold limit in which its rate rises, doubling from
	// one step to the next. So hosts don't all send at once to an upstream that has no load.
	rampTime  = 1500 * time.Millisecond
	rampSteps = 5
)

// Cold is an upstream that is cold, or may be.
type Cold struct {
	Key      route.ProcessKey
	Upstream plan.UpstreamID
	// Until is when it is cold no longer. Its limit ends rampTime later.
	Until time.Time
	Limit ColdLimit
}

// NewCold returns an upstream of a service that is cold until a time. In any one second,
// all hosts together may send it the cold rate of the service x overshoot + slack requests. It
// returns false if the service has no cold rate.
func NewCold(u *route.Upstream, s *route.Service, until time.Time, overshoot, slack float64) (Cold, bool) {
	if s == nil {
		return Cold{}, false
	}
	limit := NewColdLimit(s.ColdRate, overshoot, slack)
	return Cold{Key: u.ProcessKey(), Upstream: u.ID, Until: until, Limit: limit}, limit.Rate != NoLimit
}

// ListCold returns the listed upstreams of services with a cold rate, for SetCold. Those that
// are not cold are among them, with a time in the past.
func ListCold(list *route.Upstreams, services map[plan.ServiceID]*route.Service, overshoot, slack float64) []Cold {
	var out []Cold
	for _, u := range list.ByID {
		if c, ok := NewCold(u, services[u.Service], u.ColdUntil, overshoot, slack); ok {
			out = append(out, c)
		}
	}
	return out
}

// limitAt returns the limit at a time, which is zero after its end.
func (c Cold) limitAt(now time.Time) ColdLimit {
	past := now.Sub(c.Until)
	switch {
	case past < 0:
		return c.Limit
	case past >= rampTime:
		return ColdLimit{}
	}
	step := past * rampSteps / rampTime
	return c.Limit.scaled(math.Exp2(float64(step)))
}

// ended reports whether the limit no longer matters.
func (c Cold) ended(now time.Time) bool { return now.Sub(c.Until) >= rampTime }

// coldSet holds the upstreams that are cold. It is safe for concurrent use.
type coldSet struct {
	// size is the number of entries of both maps, which callers can read without the lock.
	size atomic.Int64
	mu   sync.Mutex
	// listed holds those that the list of upstreams names, and lost those that this host could
	// not connect to and that may have restarted.
	listed, lost map[route.ProcessKey]Cold
}

// limit returns the limit of an upstream, or zero.
func (s *coldSet) limit(now time.Time, k route.ProcessKey) ColdLimit {
	if s.size.Load() == 0 {
		return ColdLimit{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listed[k].limitAt(now).stricter(s.lost[k].limitAt(now))
}

// expire removes what no longer matters. s.mu must be held.
func (s *coldSet) expire(now time.Time) {
	for _, m := range []map[route.ProcessKey]Cold{s.listed, s.lost} {
		for k, c := range m {
			if c.ended(now) {
				delete(m, k)
			}
		}
	}
	s.size.Store(int64(len(s.listed) + len(s.lost)))
}

// isCold reports whether an upstream is cold. s.mu must be held.
func (s *coldSet) isCold(now time.Time, k route.ProcessKey) bool {
	return now.Before(s.listed[k].Until) || now.Before(s.lost[k].Until)
}

// SetCold replaces the upstreams that are cold by what the list of upstreams says. One that is
// missing there, or that the list names with another process, is cold no longer. One that the
// list no longer calls cold gets a rising share from now on. It returns those that were not
// known as cold.
func (l *Limiter) SetCold(now time.Time, list []Cold) []Cold {
	s := &l.cold
	s.mu.Lock()
	defer s.mu.Unlock()
	var began []Cold
	next := map[route.ProcessKey]Cold{}
	for _, c := range list {
		before, known := s.listed[c.Key]
		if known {
			c.Until = later(c.Until, earlier(before.Until, now))
		}
		if c.ended(now) {
			continue
		}
		if now.Before(c.Until) && !s.isCold(now, c.Key) {
			began = append(began, c)
		}
		next[c.Key] = c
	}
	s.listed = next
	s.expire(now)
	return began
}

// RecordLost records that this host could not connect to an upstream. It may have restarted and
// be cold, whatever the list of upstreams says. Later calls extend the time. It reports whether the upstream was not known as cold.
func (l *Limiter) RecordLost(now time.Time, c Cold) bool {
	s := &l.cold
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	if c.Limit.Rate == NoLimit || c.ended(now) {
		return false
	}
	isNew := !s.isCold(now, c.Key)
	c.Until = later(c.Until, s.lost[c.Key].Until)
	s.lost[c.Key] = c
	s.size.Store(int64(len(s.listed) + len(s.lost)))
	return isNew
}

// ColdCount returns the number of upstreams that are cold.
func (l *Limiter) ColdCount(now time.Time) int {
	s := &l.cold
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	n := 0
	for k := range s.listed {
		if s.isCold(now, k) {
			n++
		}
	}
	for k := range s.lost {
		if _, both := s.listed[k]; !both && s.isCold(now, k) {
			n++
		}
	}
	return n
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
