package quarantine

import "time"

// maxSoundParts bounds one of the two generations of soundParts.
const maxSoundParts = 2048

// soundParts remembers when a request with a part of a prompt began that did not crash
// its upstream, for the parts seen lately.
type soundParts struct{ recent, older map[Key]time.Time }

func newSoundParts() soundParts { return soundParts{recent: map[Key]time.Time{}} }

func (p *soundParts) add(began time.Time, k Key) {
	if last := p.last(k); last.After(began) {
		began = last
	}
	p.recent[k] = began
	if len(p.recent) >= maxSoundParts {
		p.older, p.recent = p.recent, map[Key]time.Time{}
	}
}

// last returns when the last such request began, or zero if none is known.
func (p *soundParts) last(k Key) time.Time {
	if at, ok := p.recent[k]; ok {
		return at
	}
	return p.older[k]
}
