package ratelimit

import (
	"strconv"
	"strings"
	"time"

	"mulberrydyke/route"
)

const (
	// maxPause bounds the time for which a host sends an upstream no requests because it said
	// to this host when to come back.
	maxPause = time.Hour
	// maxToldPause is the same bound for the other hosts, to which the upstream did not say so.
	maxToldPause = 30 * time.Second
	// minPauseChange is by how much longer a pause has to be to be told other hosts.
	minPauseChange = 50 * time.Millisecond
	// returnFraction of a pause is the time after its end within which the hosts return, each
	// at another moment. It is at most maxReturnSpread.
	returnFraction  = 0.25
	maxReturnSpread = time.Second
)

// PauseAnnouncement is what the head of one response says of when its upstream takes requests
// again.
type PauseAnnouncement struct {
	// Pause is the time until then. It is zero if the upstream does not say.
	Pause time.Duration
	// Problem tells why the announcement is malformed or doubtful. It is nil otherwise.
	Problem error
}

// ParsePause decodes the values of a header that holds a time in seconds, as a decimal number.
// Of several values the longest one that is usable counts, of one beyond maxPause that much.
// Problems are of type *PauseError.
func ParsePause(values []string) PauseAnnouncement {
	var out PauseAnnouncement
	if len(values) == 0 {
		return out
	}
	text := strings.Join(values, ",")
	fields := strings.Split(text, ",")
	if len(fields) > 1 {
		out.Problem = &PauseError{Text: text, Reason: "several values"}
	}
	for _, field := range fields {
		field = strings.TrimSpace(field)
		seconds, err := strconv.ParseFloat(field, 64)
		if !decimalNumber.MatchString(field) || err != nil || seconds < 0 {
			out.Problem = &PauseError{Text: text, Reason: "not a time in seconds"}
			continue
		}
		out.Pause = max(out.Pause, time.Duration(min(seconds, maxPause.Seconds())*float64(time.Second)))
	}
	return out
}

// PauseError reports a malformed or doubtful time.
type PauseError struct {
	// Text is the time as it was sent.
	Text   string
	Reason string
}

func (e *PauseError) Error() string {
	return "time to come back " + strconv.Quote(e.Text) + ": " + e.Reason
}

// pause is a time in which an upstream takes no requests.
type pause struct {
	until time.Time
	// toldUntil is the end of the pause for other hosts.
	toldUntil time.Time
	// length is the time from when this host learned of it to its end.
	length time.Duration
}

// RecordPause records that an upstream said to this host that it takes no requests for a time.
// Of several such times the one that ends last counts. It reports whether that is new.
func (t *Table) RecordPause(now time.Time, k route.ProcessKey, length time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	length = min(length, maxPause)
	return t.pause(now, k, pause{until: now.Add(length), toldUntil: now.Add(min(length, maxToldPause)), length: length})
}

// mergePause records a pause that another host tells.
func (t *Table) mergePause(now time.Time, k route.ProcessKey, length time.Duration) bool {
	until := now.Add(min(length, maxToldPause))
	return t.pause(now, k, pause{until: until, toldUntil: until, length: length})
}

// pause records until when an upstream takes no requests, and reports whether that is new.
// t.mu must be held.
func (t *Table) pause(now time.Time, k route.ProcessKey, p pause) bool {
	e := t.entries[k]
	if !p.until.After(now) || e != nil && p.until.Sub(e.pause.until) < minPauseChange {
		return false
	}
	if e == nil {
		e = t.insert(now, Statement{Key: k, Rate: NoLimit, SentAt: now, ReceivedAt: now})
	}
	if e.pause.toldUntil.After(p.toldUntil) {
		p.toldUntil = e.pause.toldUntil
	}
	e.pause = p
	t.queue.Put(k)
	return true
}

// PausedUntil returns when an upstream takes requests again. It is not after now if it takes
// them now.
func (t *Table) PausedUntil(k route.ProcessKey) time.Time { return t.pauseOf(k).until }

func (t *Table) pauseOf(k route.ProcessKey) pause {
	if t.Empty() {
		return pause{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[k]; e != nil {
		return e.pause
	}
	return pause{}
}

// ReturnsAt returns when this host may send requests again to an upstream that has paused: some
// time after the end of the pause, so that not all hosts return at the same moment. It is not
// after now if the host may send them now.
func (l *Limiter) ReturnsAt(k route.ProcessKey) time.Time {
	p := l.pauseOf(k)
	if p.until.IsZero() {
		return p.until
	}
	spread := min(maxReturnSpread, time.Duration(returnFraction*float64(p.length)))
	fraction := route.UnitFraction(route.Hash(l.Holders.self.String(), strconv.FormatUint(uint64(k), 16)))
	return p.until.Add(time.Duration(fraction * float64(spread)))
}
