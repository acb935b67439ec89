package host

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mulberrydyke/answer"
	"mulberrydyke/metric"
)

// TestMalformedResponsesAreCountedAndFewAreLogged checks that each malformed response counts by its reason,
// and that an upstream which sends many fills no log.
func TestMalformedResponsesAreCountedAndFewAreLogged(t *testing.T) {
	var log, counters bytes.Buffer
	r := &malformedRecorder{log: slog.New(slog.NewTextHandler(&log, nil)), metrics: metric.NewSet()}
	start := time.Date(2026, 3, 1, 9, 0, 0, 0, time.UTC)
	const responses, interval = 3000, time.Millisecond
	for i := range responses {
		r.record(start.Add(time.Duration(i)*interval), "u", &answer.MalformedError{Reason: answer.BadStatus, Line: "HTTP/1.1 000 X"})
	}
	r.metrics.WritePrometheus(&counters)
	counted := strings.Contains(counters.String(), `mulberrydyke_malformed_responses_total{reason="bad-status"} 3000`)
	lines := strings.Count(log.String(), `upstream=u reason=bad-status line="HTTP/1.1 000 X"`)
	if diff := cmp.Diff([]any{true, 3, 1}, []any{counted, lines, strings.Count(log.String(), "unlogged=0")}); diff != "" {
		t.Errorf("%s\n%s", diff, log.String())
	}
}
