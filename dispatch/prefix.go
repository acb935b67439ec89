package dispatch

import (
	"time"

	"mulberrydyke/call"
	"mulberrydyke/plan"
)

// prefixesMost bounds the remembered parts.
const prefixesMost = 4096

// prefixes remembers which parts of prompts were sent to which engine, and so
// are in its cache.
type prefixes struct {
	life time.Duration
	// at holds when a part was last sent to an engine.
	at map[prefixKey]time.Time
}

type prefixKey struct {
	part     string
	upstream plan.UpstreamID
}

func newPrefixes(life time.Duration) *prefixes {
	return &prefixes{life: life, at: map[prefixKey]time.Time{}}
}

// sent notes that a prompt went to an engine.
func (p *prefixes) sent(now time.Time, u plan.UpstreamID, prompt *call.Prompt) {
	if len(p.at) >= prefixesMost {
		p.trim(now)
	}
	for _, part := range shared(prompt) {
		p.at[prefixKey{part.ID, u}] = now
	}
}

// trim forgets what is too old to be of use, or all where nothing is.
func (p *prefixes) trim(now time.Time) {
	for k, at := range p.at {
		if now.Sub(at) > p.life {
			delete(p.at, k)
		}
	}
	if len(p.at) >= prefixesMost {
		clear(p.at)
	}
}

// forget notes that an engine did not take a prompt.
func (p *prefixes) forget(u plan.UpstreamID, prompt *call.Prompt) {
	for _, part := range shared(prompt) {
		delete(p.at, prefixKey{part.ID, u})
	}
}

// missing returns how many tokens of the prompt are not in an engine's cache. A
// part is in the cache only if all parts before it are.
func (p *prefixes) missing(now time.Time, u plan.UpstreamID, prompt *call.Prompt) int {
	rest := prompt.Tokens
	for _, part := range shared(prompt) {
		at, ok := p.at[prefixKey{part.ID, u}]
		if !ok || now.Sub(at) > p.life {
			break
		}
		rest -= part.Tokens
	}
	return max(0, rest)
}

// shared returns the parts that other requests may have in common with this one.
func shared(p *call.Prompt) []call.PromptPart {
	if len(p.Parts) == 0 {
		return nil
	}
	return p.Parts[:len(p.Parts)-1]
}
