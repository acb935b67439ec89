// Package audit keeps the most recent decisions on requests, each with the
// versions of the lists it was made under, so that an auditor can hold them
// against the lists.
package audit

import (
	"sync"
	"time"

	"mulberrydyke/plan"
	"mulberrydyke/ticket"
)

// Decision is what became of one request.
type Decision struct {
	At       time.Time       `json:"at"`
	Request  string          `json:"request"`
	Account  plan.AccountID  `json:"account"`
	Plan     plan.PlanID     `json:"plan"`
	Tier     plan.Tier       `json:"tier"`
	Class    plan.ClassID    `json:"class"`
	Target   string          `json:"target"`
	Versions plan.Versions   `json:"versions"`
	Upstream plan.UpstreamID `json:"upstream,omitempty"`
	Domain   plan.DomainID   `json:"domain,omitempty"`
	// Code is empty for a whole answer.
	Code    string         `json:"code,omitempty"`
	Outcome ticket.Outcome `json:"outcome"`
	Tries   int            `json:"tries"`
	Queued  plan.Duration  `json:"queued"`
	// FirstToken runs from arrival to the first token.
	FirstToken plan.Duration `json:"first-token"`
	Tokens     int           `json:"tokens"`
	// Attained says whether the class's latency target was met.
	Attained bool `json:"attained"`
}

// Trail is a bounded ring of decisions.
type Trail struct {
	mu   sync.Mutex
	ring []Decision
	next int
	full bool
}

// NewTrail returns a trail that keeps the given number of decisions.
func NewTrail(size int) *Trail { return &Trail{ring: make([]Decision, size)} }

// Add keeps a decision and forgets the oldest one where the ring is full.
func (t *Trail) Add(d Decision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ring[t.next] = d
	t.next = (t.next + 1) % len(t.ring)
	t.full = t.full || t.next == 0
}

// Recent returns up to most decisions, the newest first.
func (t *Trail) Recent(most int) []Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	held := t.next
	if t.full {
		held = len(t.ring)
	}
	out := make([]Decision, 0, min(most, held))
	for i := range min(most, held) {
		out = append(out, t.ring[(t.next-1-i+len(t.ring))%len(t.ring)])
	}
	return out
}
