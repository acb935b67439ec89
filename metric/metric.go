// Package metric holds the metrics of an entry host in the Prometheus format.
package metric

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"mulberrydyke/answer"
	"mulberrydyke/audit"
	"mulberrydyke/plan"
)

// maxAccountLabels limits the accounts that have a histogram of their own. All further
// accounts share one.
const maxAccountLabels = 1024

// otherAccountsLabel is the label value that the accounts above maxAccountLabels share.
const otherAccountsLabel = "other"

// Set holds the metrics of one host.
type Set struct {
	set *metrics.Set
	mu  sync.Mutex
	// accounts holds the accounts that have a label of their own.
	accounts map[plan.AccountID]bool
}

// NewSet returns an empty set.
func NewSet() *Set { return &Set{set: metrics.NewSet(), accounts: map[plan.AccountID]bool{}} }

// WritePrometheus writes all metrics, those of the process included, in the Prometheus
// text format.
func (s *Set) WritePrometheus(w io.Writer) {
	s.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// RegisterGauge registers a gauge whose value is read when the metrics are written.
func (s *Set) RegisterGauge(name string, read func() float64) { s.set.GetOrCreateGauge(name, read) }

// Inc increments a counter.
func (s *Set) Inc(name string) { s.set.GetOrCreateCounter(name).Inc() }

// RecordRejectedList counts a list that was rejected.
func (s *Set) RecordRejectedList(kind plan.ListKind) {
	s.Inc(fmt.Sprintf(`mulberrydyke_lists_rejected_total{list=%q}`, kind))
}

// RecordMalformedResponse counts a response of an upstream whose head was malformed.
func (s *Set) RecordMalformedResponse(reason answer.Reason) {
	s.Inc(fmt.Sprintf(`mulberrydyke_malformed_responses_total{reason=%q}`, reason))
}

// RecordRefusal counts a request that was refused before its account was known.
func (s *Set) RecordRefusal(code string) {
	s.Inc(fmt.Sprintf(`mulberrydyke_refused_total{code=%q}`, code))
}

// RecordDecision updates the metrics for a finished request. The argument wastedTokens
// is the number of generated tokens that did not reach the caller. Latencies and tokens
// are recorded for complete responses only.
func (s *Set) RecordDecision(d *audit.Decision, wastedTokens int) {
	code := d.Code
	if code == "" {
		code = "done"
	}
	labels := fmt.Sprintf(`tier="%d",class=%q`, d.Tier, d.Class)
	s.Inc(fmt.Sprintf(`mulberrydyke_requests_total{%s,code=%q}`, labels, code))
	s.set.GetOrCreateCounter(fmt.Sprintf(`mulberrydyke_wasted_tokens_total{%s}`, labels)).Add(wastedTokens)
	if d.Code != "" {
		return
	}
	s.set.GetOrCreateCounter(fmt.Sprintf(`mulberrydyke_tokens_total{%s}`, labels)).Add(d.Tokens)
	if d.Attained {
		s.Inc(fmt.Sprintf(`mulberrydyke_attained_total{%s}`, labels))
	}
	firstToken := time.Duration(d.FirstToken).Seconds()
	s.set.GetOrCreateHistogram(fmt.Sprintf(`mulberrydyke_first_token_seconds{%s}`, labels)).Update(firstToken)
	s.set.GetOrCreateHistogram(fmt.Sprintf(`mulberrydyke_queue_seconds{%s}`, labels)).Update(time.Duration(d.Queued).Seconds())
	accountHistogram := fmt.Sprintf(`mulberrydyke_account_first_token_seconds{account=%q}`, s.accountLabel(d.Account))
	s.set.GetOrCreateHistogram(accountHistogram).Update(firstToken)
}

// accountLabel returns the label value of an account, which is otherAccountsLabel once
// maxAccountLabels is reached.
func (s *Set) accountLabel(id plan.AccountID) plan.AccountID {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.accounts[id] && len(s.accounts) >= maxAccountLabels {
		return otherAccountsLabel
	}
	s.accounts[id] = true
	return id
}
