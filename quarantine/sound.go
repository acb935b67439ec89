package quarantine

import "time"

// maxSoundParts bounds one of the two generations of soundParts.
const maxSoundParts = 2048

// soundParts remembers when a request with a part of a prompt last did not crash its
// upstream, for the parts seen lately.
type soundParts struct{ recent, older map[Key]time.Time }

func newSoundParts() soundParts { return soundParts{recent: map[Key]time.Time{}} }

func (p *soundParts) add(now time.Time, k Key) {
	p.recent[k] = now
	if len(p.recent) >= maxSoundParts {
		p.older, p.recent = p.recent, map[Key]time.Time{}
	}
}

// last returns when a part was last sound, or zero if that is not known.
func (p *soundParts) last(k Key) time.Time {
	if at, ok := p.recent[k]; ok {
		return at
	}
	return p.older[k]
}
