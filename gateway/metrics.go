package gateway

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"mulberrydyke/dispatch"
)

// Metrics counts what the gateway does.
type Metrics struct{ set *metrics.Set }

// NewMetrics returns metrics that are registered in a set.
func NewMetrics(set *metrics.Set) *Metrics { return &Metrics{set: set} }

// TurnedAway counts a request that was not sent to any upstream.
func (m *Metrics) TurnedAway(status int) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`mulberrydyke_turned_away_total{status="%d"}`, status)).Inc()
}

// Tried counts one try at an upstream.
func (m *Metrics) Tried(r dispatch.Result) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`mulberrydyke_tries_total{result=%q}`, r)).Inc()
}

// Ended books a request that was sent to an upstream, or was refused for want of
// one.
func (m *Metrics) Ended(x *exchange, now time.Time) {
	class := fmt.Sprintf(`route=%q,account=%q`, x.route.Name, x.accountID())
	m.set.GetOrCreateCounter(fmt.Sprintf(`mulberrydyke_answers_total{%s,status="%d"}`, class, x.status)).Inc()
	if x.first > 0 {
		m.set.GetOrCreateHistogram(fmt.Sprintf(`mulberrydyke_first_event_seconds{%s}`, class)).Update(x.first.Seconds())
	}
	m.set.GetOrCreateHistogram(fmt.Sprintf(`mulberrydyke_request_seconds{%s}`, class)).Update(now.Sub(x.request.ReceivedAt).Seconds())
}
