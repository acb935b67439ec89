package pool

import (
	"slices"
	"time"
)

const (
	// prefixCrashLimit is the number of crashes, prefixCrashGap apart and each under
	// another content, from which requests with a prefix are refused. Upstreams that end
	// together had another cause, and content that crashes upstreams is refused itself.
	prefixCrashLimit = 3
	prefixCrashGap   = 500 * time.Millisecond
	// prefixQuarantine is how long they are refused. It is short, since a prefix keeps
	// out many requests.
	prefixQuarantine = time.Minute
	// maxPrefixes bounds the table of prefixes.
	maxPrefixes = 1024
)

// prefixCrash is a crash of an upstream under a request with a prefix.
type prefixCrash struct {
	instance Instance
	content  ContentHash
	at       time.Time
}

// crashingPrefixes counts the crashes of upstreams by the prefix of the requests that were
// running there. Each scheduler has its own, since it sees all runs of its pool.
type crashingPrefixes struct {
	// byPrefix holds the crashes that count, in order of time.
	byPrefix map[PrefixHash][]prefixCrash
}

func newCrashingPrefixes() crashingPrefixes {
	return crashingPrefixes{byPrefix: map[PrefixHash][]prefixCrash{}}
}

// recordCrash records that an upstream crashed while it was running a request.
func (p *crashingPrefixes) recordCrash(now time.Time, req *Request, instance Instance) {
	if req.Prefix == 0 {
		return
	}
	crashes := p.byPrefix[req.Prefix]
	if slices.ContainsFunc(crashes, func(c prefixCrash) bool { return c.instance == instance || c.content == req.Content }) {
		return
	}
	if n := len(crashes); n > 0 && now.Sub(crashes[n-1].at) < prefixCrashGap {
		return
	}
	if crashes == nil && len(p.byPrefix) >= maxPrefixes {
		p.makeRoom()
	}
	crashes = append(crashes, prefixCrash{instance: instance, content: req.Content, at: now})
	p.byPrefix[req.Prefix] = crashes[max(0, len(crashes)-prefixCrashLimit):]
}

// recordFinished records that a request finished. Crashes before it was granted then don't
// count against its prefix any more.
func (p *crashingPrefixes) recordFinished(prefix PrefixHash, grantedAt time.Time) {
	crashes, ok := p.byPrefix[prefix]
	if !ok {
		return
	}
	crashes = slices.DeleteFunc(crashes, func(c prefixCrash) bool { return c.at.Before(grantedAt) })
	p.byPrefix[prefix] = crashes
	if len(crashes) == 0 {
		delete(p.byPrefix, prefix)
	}
}

// quarantineLeft returns how long requests with a prefix stay refused, or zero.
func (p *crashingPrefixes) quarantineLeft(now time.Time, prefix PrefixHash) time.Duration {
	crashes := p.byPrefix[prefix]
	if len(crashes) < prefixCrashLimit {
		return 0
	}
	return max(0, crashes[len(crashes)-1].at.Add(prefixQuarantine).Sub(now))
}

// expire forgets the prefixes whose last crash is suspectTTL ago.
func (p *crashingPrefixes) expire(now time.Time) {
	for prefix, crashes := range p.byPrefix {
		if now.Sub(crashes[len(crashes)-1].at) >= suspectTTL {
			delete(p.byPrefix, prefix)
		}
	}
}

// makeRoom removes the prefix whose last crash is longest ago.
func (p *crashingPrefixes) makeRoom() {
	var oldest PrefixHash
	for prefix, crashes := range p.byPrefix {
		o := p.byPrefix[oldest]
		if o == nil || crashes[len(crashes)-1].at.Before(o[len(o)-1].at) {
			oldest = prefix
		}
	}
	delete(p.byPrefix, oldest)
}
