package quarantine

import (
	"github.com/cespare/xxhash/v2"

	"mulberrydyke/call"
	"mulberrydyke/route"
)

// Key identifies a trait by a hash. Zero means unknown.
type Key uint64

// Depth tells how much of a request a trait covers: the position of a part of a prompt,
// counted from 1, or contentDepth.
type Depth int

const (
	// contentDepth is the depth of the content of a request.
	contentDepth Depth = 64
	// maxPartDepth is the depth of all parts of a prompt from there on.
	maxPartDepth = contentDepth - 1
)

// Trait is what requests that crash upstreams may have in common: their content, or one
// part of their prompts.
type Trait struct {
	Key   Key
	Depth Depth
}

// TraitsOf returns the traits of a request: its content, then the parts of its prompt
// that other requests may share. The last part belongs to the request alone.
func TraitsOf(r *call.Request) []Trait {
	return append([]Trait{ContentOf(r)}, PartsOf(r)...)
}

// ContentOf returns the content of a request as a trait.
func ContentOf(r *call.Request) Trait { return Trait{Key: contentKey(r), Depth: contentDepth} }

// PartsOf returns the parts of a request's prompt that other requests may share.
func PartsOf(r *call.Request) []Trait {
	var out []Trait
	for i, id := range r.Prompt.SharedPartIDs() {
		out = append(out, Trait{Key: partKey(id), Depth: min(Depth(i+1), maxPartDepth)})
	}
	return out
}

// contentKey returns the key of a request's content. Requests from one caller with the
// same method, host, target and body have the same key. It is never zero.
func contentKey(r *call.Request) Key {
	d := xxhash.New()
	for _, field := range []string{r.APIKey, r.Method, r.Host, r.Target} {
		_, _ = d.WriteString(field)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(r.Body)
	return Key(d.Sum64() | 1)
}

// partKey returns the key of a part of a prompt. It is never zero.
func partKey(id string) Key { return Key(route.Hash("part", id) | 1) }
