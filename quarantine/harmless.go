package quarantine

import "time"

// maxHarmlessParts bounds one of the two generations of harmlessParts.
const maxHarmlessParts = 2048

// harmlessParts remembers when a request with a part of a prompt began that did not crash
// its upstream, for the parts seen lately.
type harmlessParts struct{ recent, older map[Key]time.Time }

func newHarmlessParts() harmlessParts { return harmlessParts{recent: map[Key]time.Time{}} }

func (p *harmlessParts) add(began time.Time, k Key) {
	if last := p.last(k); last.After(began) {
		began = last
	}
	p.recent[k] = began
	if len(p.recent) >= maxHarmlessParts {
		p.older, p.recent = p.recent, map[Key]time.Time{}
	}
}

// last returns when the last such request began, or zero if none is known.
func (p *harmlessParts) last(k Key) time.Time {
	if at, ok := p.recent[k]; ok {
		return at
	}
	return p.older[k]
}
