package runner

import "sync"

// budgetMost bounds the retries that a quiet time saves up.
const budgetMost = 20.0

// Budget bounds retries to a part of fresh requests, so that failures don't
// multiply the load.
type RetryBudget struct {
	mu   sync.Mutex
	part float64
	left float64
}

// NewBudget returns a budget that starts full.
func NewRetryBudget(part float64) *RetryBudget {
	return &RetryBudget{part: part, left: budgetMost * min(1, part*10)}
}

// Earn books a fresh request.
func (b *RetryBudget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left = min(b.left+b.part, budgetMost)
}

// Spend takes one retry out of the budget. It returns false where none is left.
func (b *RetryBudget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}
