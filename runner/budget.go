package runner

import "sync"

// maxSavedRetries limits the retries that a budget accumulates while there are
// no failures.
const maxSavedRetries = 20.0

// RetryBudget limits retries to a fraction of new requests, so that failures
// don't multiply the load. It is safe for concurrent use.
type RetryBudget struct {
	mu        sync.Mutex
	ratio     float64
	available float64
}

// NewRetryBudget returns a budget that allows ratio retries per new request. It
// starts full if ratio is at least 0.1, and proportionally less full otherwise.
func NewRetryBudget(ratio float64) *RetryBudget {
	return &RetryBudget{ratio: ratio, available: maxSavedRetries * min(1, ratio*10)}
}

// Deposit adds the retries that one new request allows.
func (b *RetryBudget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.available = min(b.available+b.ratio, maxSavedRetries)
}

// TryWithdraw takes one retry out of the budget. It returns false if none is
// left.
func (b *RetryBudget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.available < 1 {
		return false
	}
	b.available--
	return true
}
