package dispatch

import (
	"strconv"
	"strings"
	"time"

	"mulberrydyke/call"
	"mulberrydyke/plan"
	"mulberrydyke/route"
)

const (
	// maxPrefixEntries is the number of entries from which old entries are evicted.
	maxPrefixEntries = 4096
	// maxPartIDBytes is the longest ID of a part that is kept as it is.
	maxPartIDBytes = 64
)

// prefixCache records which parts of prompts were sent to which engine, and so
// are expected to be in its cache.
type prefixCache struct {
	ttl time.Duration
	// sentAt holds when a part was last sent to an engine.
	sentAt map[prefixKey]time.Time
}

// prefixKey names a part of a prompt and an engine.
type prefixKey struct {
	// part is the ID of the part, or its hash if it is longer than maxPartIDBytes. In a key that
	// is kept it is a copy: IDs are parts of the heads of requests, which would stay in memory.
	part     string
	upstream plan.UpstreamID
}

// newPrefixKey returns the key of a part, which is only for use while its request is.
func newPrefixKey(part string, u plan.UpstreamID) prefixKey {
	if len(part) > maxPartIDBytes {
		part = strconv.FormatUint(route.Hash(part), 16)
	}
	return prefixKey{part, u}
}

// kept returns the key in a form that may be kept.
func (k prefixKey) kept() prefixKey { return prefixKey{strings.Clone(k.part), k.upstream} }

func newPrefixCache(ttl time.Duration) *prefixCache {
	return &prefixCache{ttl: ttl, sentAt: map[prefixKey]time.Time{}}
}

// recordSent records that a prompt was sent to an engine.
func (p *prefixCache) recordSent(now time.Time, u plan.UpstreamID, prompt *call.Prompt) {
	if len(p.sentAt) >= maxPrefixEntries {
		p.evict(now)
	}
	for _, part := range sharedParts(prompt) {
		p.sentAt[newPrefixKey(part.ID, u).kept()] = now
	}
}

// evict removes expired entries, or all entries if too few have expired.
func (p *prefixCache) evict(now time.Time) {
	for k, at := range p.sentAt {
		if now.Sub(at) > p.ttl {
			delete(p.sentAt, k)
		}
	}
	if len(p.sentAt) >= maxPrefixEntries {
		clear(p.sentAt)
	}
}

// forget removes the entries of a prompt that an engine did not accept.
func (p *prefixCache) forget(u plan.UpstreamID, prompt *call.Prompt) {
	for _, part := range sharedParts(prompt) {
		delete(p.sentAt, newPrefixKey(part.ID, u))
	}
}

// uncachedTokens returns how many tokens of the prompt are not in an engine's
// cache. A part is cached only if all parts before it are.
func (p *prefixCache) uncachedTokens(now time.Time, u plan.UpstreamID, prompt *call.Prompt) int {
	uncached := prompt.Tokens
	for _, part := range sharedParts(prompt) {
		at, ok := p.sentAt[newPrefixKey(part.ID, u)]
		if !ok || now.Sub(at) > p.ttl {
			break
		}
		uncached -= part.Tokens
	}
	return max(0, uncached)
}

// sharedParts returns the parts of a prompt that other requests may share.
func sharedParts(p *call.Prompt) []call.PromptPart {
	if len(p.Parts) == 0 {
		return nil
	}
	return p.Parts[:len(p.Parts)-1]
}
