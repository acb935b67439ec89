package catalog

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mulberrydyke/plan"
	"mulberrydyke/route"
)

// span returns a time of service in an epoch, in seconds after start.
func span(from, until float64, epoch route.Epoch) ServedSpan {
	seconds := func(x float64) time.Time { return at(time.Duration(x * float64(time.Second))) }
	return ServedSpan{From: seconds(from), Until: seconds(until), Epoch: epoch}
}

var bothInUse = map[plan.UpstreamID]route.State{"a": route.Ready, "b": route.Ready}

// recovered returns a catalog of a host that the store failed for from 10 s to 13 s, and then lacked
// the entry of upstream b.
func recovered() *Catalog {
	c := New(testDecoder{})
	read(c, start, rev(3), itemA, itemB)
	c.RecordServed(start, start, 0)
	c.RecordFailure(at(10 * time.Second))
	c.RecordFailure(at(12 * time.Second))
	c.RecordRecovery(at(13 * time.Second))
	c.RecordServed(at(13*time.Second), at(13*time.Second), 0)
	read(c, at(13*time.Second), rev(8), itemA)
	return c
}

// TestServiceElsewhereEndsTheGracePeriod guards against hosts that keep an upstream which has left,
// since the store failed for them: another host that the store has served meanwhile shows that it
// was no outage. What that host says must be of the time of the failure and of the present epoch.
func TestServiceElsewhereEndsTheGracePeriod(t *testing.T) {
	for name, x := range map[string]struct {
		elsewhere ServedSpan
		want      map[plan.UpstreamID]route.State
	}{
		"served throughout":             {span(2, 12.9, 0), onlyA},
		"served since the failure":      {span(2, 10, 0), onlyA},
		"served before the failure":     {span(2, 9.9, 0), bothInUse},
		"served again too late to tell": {span(12, 13, 0), bothInUse},
		"served long ago":               {span(2, 9, 0), bothInUse},
		"another epoch":                 {span(2, 13, 1), bothInUse},
		"nothing told":                  {ServedSpan{}, bothInUse},
	} {
		t.Run(name, func(t *testing.T) {
			c := recovered()
			c.RecordServedElsewhere(at(13100*time.Millisecond), x.elsewhere)
			c.Expire(at(13100 * time.Millisecond))
			if diff := cmp.Diff(x.want, upstreamStates(c)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestEarlierReturnShortensTheGracePeriod checks that the grace period counts from when the store
// served the first host again, not from when this one noticed.
func TestEarlierReturnShortensTheGracePeriod(t *testing.T) {
	c := recovered()
	c.RecordServedElsewhere(at(13100*time.Millisecond), span(12, 13, 0))
	end := at(12*time.Second + MissingGracePeriod)
	if c.Expire(end.Add(-time.Millisecond)) || !c.Expire(end) {
		t.Error("the grace period does not end two seconds after the store served a host")
	}
}

// TestSteadyHostKeepsNoUpstreamForAnother guards against a host that the store serves, which adopts the
// grace period of one that failed.
func TestSteadyHostKeepsNoUpstreamForAnother(t *testing.T) {
	c := New(testDecoder{})
	read(c, start, rev(3), itemA, itemB)
	for i := range 13 {
		now := at(time.Duration(i) * time.Second)
		c.RecordServed(now, now, 0)
	}
	c.RecordServed(at(13*time.Second), at(13*time.Second), 0)
	c.Merge(at(13*time.Second), recovered().SnapshotSince(at(13*time.Second), rev(3), 0))
	c.Expire(at(13 * time.Second))
	if diff := cmp.Diff(onlyA, upstreamStates(c)); diff != "" {
		t.Error(diff)
	}
}

// TestHostThatTakesOverAfterAFailureKeepsMissingUpstreams guards against the loss of upstreams whose
// entries expired in an outage, on a host that begins to read the store in place of those that it
// failed for.
func TestHostThatTakesOverAfterAFailureKeepsMissingUpstreams(t *testing.T) {
	for failing, want := range map[bool]map[plan.UpstreamID]route.State{true: bothInUse, false: onlyA} {
		c := New(testDecoder{})
		read(c, start, rev(3), itemA, itemB)
		d := ReadDuty{MustRead: true}
		if failing {
			d.FailingSince = at(10 * time.Second)
		}
		c.BeginReading(at(13*time.Second), d)
		c.RecordRecovery(at(13 * time.Second))
		c.RecordServed(at(13*time.Second), at(13*time.Second), 0)
		read(c, at(13*time.Second), rev(8), itemA)
		if diff := cmp.Diff(want, upstreamStates(c)); diff != "" {
			t.Errorf("failing for others: %v: %s", failing, diff)
		}
	}
}

// TestSpanIsExtended checks that a span goes on over short gaps, and over longer ones only if the
// store has served other hosts meanwhile.
func TestSpanIsExtended(t *testing.T) {
	for name, x := range map[string]struct{ own, elsewhere, call, want ServedSpan }{
		"first call":              {ServedSpan{}, ServedSpan{}, span(5, 5.5, 0), span(5, 5.5, 0)},
		"first call, others told": {ServedSpan{}, span(1, 5, 0), span(5, 5.5, 0), span(5, 5.5, 0)},
		"short gap":               {span(1, 5, 0), ServedSpan{}, span(5, 8, 0), span(1, 8, 0)},
		"long gap":                {span(1, 5, 0), ServedSpan{}, span(9, 9.5, 0), span(9, 9.5, 0)},
		"held for long":           {span(1, 5, 0), ServedSpan{}, span(5, 9.5, 0), span(9.5, 9.5, 0)},
		"held, others served":     {span(1, 5, 0), span(3, 7, 0), span(5, 9.5, 0), span(1, 9.5, 0)},
		"held, others served anew": {
			span(1, 5, 0), span(8, 9, 0), span(5, 9.5, 0), span(9.5, 9.5, 0),
		},
		"another epoch": {span(1, 5, 0), span(1, 5, 0), span(5, 5.5, 1), span(5, 5.5, 1)},
	} {
		got := x.own.bridge(x.elsewhere).extend(x.call.From, x.call.Until, x.call.Epoch)
		if diff := cmp.Diff(x.want, got); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
	}
}

// TestLongestSpan checks that hosts pass on what tells most.
func TestLongestSpan(t *testing.T) {
	for name, x := range map[string]struct {
		spans []ServedSpan
		want  ServedSpan
	}{
		"none":              {nil, ServedSpan{}},
		"earliest":          {[]ServedSpan{span(3, 9, 0), span(1, 8, 0)}, span(1, 9, 0)},
		"in two steps":      {[]ServedSpan{span(6, 9, 0), span(4, 7, 0), span(1, 5, 0)}, span(1, 9, 0)},
		"outage in between": {[]ServedSpan{span(6, 9, 0), span(1, 5, 0)}, span(1, 5, 0)},
		"later epoch":       {[]ServedSpan{span(1, 9, 0), span(8, 9, 1)}, span(8, 9, 1)},
	} {
		if diff := cmp.Diff(x.want, Longest(x.spans)); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
	}
}
