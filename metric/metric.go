// Package metric counts what the product does, for operators' monitoring.
package metric

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"mulberrydyke/audit"
	"mulberrydyke/plan"
)

// accountsMost bounds the accounts with histograms of their own. Further ones
// share one.
const accountsMost = 1024

// otherAccounts is the label of accounts above the bound.
const otherAccounts = "other"

// Set holds the metrics of one host.
type Set struct {
	set      *metrics.Set
	mu       sync.Mutex
	accounts map[plan.AccountID]bool
}

// NewSet returns an empty set.
func NewSet() *Set { return &Set{set: metrics.NewSet(), accounts: map[plan.AccountID]bool{}} }

// WritePrometheus writes all metrics in the Prometheus text format.
func (s *Set) WritePrometheus(w io.Writer) {
	s.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// RegisterGauge registers a value that is read when metrics are written.
func (s *Set) RegisterGauge(name string, read func() float64) { s.set.GetOrCreateGauge(name, read) }

// Inc adds one to a counter.
func (s *Set) Inc(name string) { s.set.GetOrCreateCounter(name).Inc() }

// RecordRejectedList counts a list that was not adopted.
func (s *Set) RecordRejectedList(kind plan.Kind) {
	s.Inc(fmt.Sprintf(`mulberrydyke_lists_rejected_total{list=%q}`, kind))
}

// RecordRefusal counts a request that was refused before its account was known.
func (s *Set) RecordRefusal(code string) {
	s.Inc(fmt.Sprintf(`mulberrydyke_refused_total{code=%q}`, code))
}

// RecordDecision records a finished request.
func (s *Set) RecordDecision(d *audit.Decision, wasted int) {
	code := d.Code
	if code == "" {
		code = "done"
	}
	class := fmt.Sprintf(`tier="%d",class=%q`, d.Tier, d.Class)
	s.Inc(fmt.Sprintf(`mulberrydyke_requests_total{%s,code=%q}`, class, code))
	s.set.GetOrCreateCounter(fmt.Sprintf(`mulberrydyke_wasted_tokens_total{%s}`, class)).Add(wasted)
	if d.Code != "" {
		return
	}
	s.set.GetOrCreateCounter(fmt.Sprintf(`mulberrydyke_tokens_total{%s}`, class)).Add(d.Tokens)
	if d.Attained {
		s.Inc(fmt.Sprintf(`mulberrydyke_attained_total{%s}`, class))
	}
	first := time.Duration(d.FirstToken).Seconds()
	s.set.GetOrCreateHistogram(fmt.Sprintf(`mulberrydyke_first_token_seconds{%s}`, class)).Update(first)
	s.set.GetOrCreateHistogram(fmt.Sprintf(`mulberrydyke_queue_seconds{%s}`, class)).Update(time.Duration(d.Queued).Seconds())
	account := fmt.Sprintf(`mulberrydyke_account_first_token_seconds{account=%q}`, s.label(d.Account))
	s.set.GetOrCreateHistogram(account).Update(first)
}

func (s *Set) label(id plan.AccountID) plan.AccountID {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.accounts[id] && len(s.accounts) >= accountsMost {
		return otherAccounts
	}
	s.accounts[id] = true
	return id
}
