package gateway

import (
	"errors"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"mulberrydyke/answer"
	"mulberrydyke/dispatch"
)

// Metrics records the metrics of the gateway.
type Metrics struct{ set *metrics.Set }

// NewMetrics returns metrics that are registered in the given set.
func NewMetrics(set *metrics.Set) *Metrics { return &Metrics{set: set} }

// RecordRejected counts a request that was not admitted.
func (m *Metrics) RecordRejected(status int) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`mulberrydyke_turned_away_total{status="%d"}`, status)).Inc()
}

// RecordAttempt counts one attempt at an upstream.
func (m *Metrics) RecordAttempt(result dispatch.Result) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`mulberrydyke_tries_total{result=%q}`, result)).Inc()
}

// RecordMalformedResponse counts the response of an upstream if err says that its head was malformed.
func (m *Metrics) RecordMalformedResponse(err error) {
	var malformed *answer.MalformedError
	if errors.As(err, &malformed) {
		m.set.GetOrCreateCounter(fmt.Sprintf(`mulberrydyke_malformed_responses_total{reason=%q}`, malformed.Reason)).Inc()
	}
}

// RecordRequest records a request that was sent to an upstream, or was refused
// because none took it.
func (m *Metrics) RecordRequest(x *exchange, now time.Time) {
	labels := fmt.Sprintf(`route=%q,account=%q`, x.route.Name, x.accountID())
	m.set.GetOrCreateCounter(fmt.Sprintf(`mulberrydyke_answers_total{%s,status="%d"}`, labels, x.status)).Inc()
	if x.firstEventLatency > 0 {
		m.set.GetOrCreateHistogram(fmt.Sprintf(`mulberrydyke_first_event_seconds{%s}`, labels)).Update(x.firstEventLatency.Seconds())
	}
	m.set.GetOrCreateHistogram(fmt.Sprintf(`mulberrydyke_request_seconds{%s}`, labels)).Update(now.Sub(x.request.ReceivedAt).Seconds())
}
