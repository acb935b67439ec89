// Package audit keeps the most recent decisions on requests in memory. Each decision
// records the versions of the lists it was made under, so that an auditor can compare
// it with them.
package audit

import (
	"sync"
	"time"

	"mulberrydyke/plan"
	"mulberrydyke/ticket"
)

// Decision records how one request was handled.
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
	// Code is the refusal or error code. It is empty if the response was complete.
	Code     string         `json:"code,omitempty"`
	Outcome  ticket.Outcome `json:"outcome"`
	Attempts int            `json:"tries"`
	Queued   plan.Duration  `json:"queued"`
	// FirstToken is the time from arrival to the first token.
	FirstToken plan.Duration `json:"first-token"`
	Tokens     int           `json:"tokens"`
	// Attained is set if the latency target of the class was met.
	Attained bool `json:"attained"`
}

// Trail is a ring buffer of decisions. It is safe for concurrent use.
type Trail struct {
	mu        sync.Mutex
	decisions []Decision
	next      int
	full      bool
}

// NewTrail returns a trail that keeps the last size decisions.
func NewTrail(size int) *Trail { return &Trail{decisions: make([]Decision, size)} }

// Add adds a decision. It overwrites the oldest one if the trail is full.
func (t *Trail) Add(d Decision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.decisions[t.next] = d
	t.next = (t.next + 1) % len(t.decisions)
	t.full = t.full || t.next == 0
}

// Recent returns up to limit decisions, newest first.
func (t *Trail) Recent(limit int) []Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	count := t.next
	if t.full {
		count = len(t.decisions)
	}
	recent := make([]Decision, 0, min(limit, count))
	for i := range min(limit, count) {
		recent = append(recent, t.decisions[(t.next-1-i+len(t.decisions))%len(t.decisions)])
	}
	return recent
}
