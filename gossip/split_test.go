package gossip

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"mulberrydyke/dispatch"
	"mulberrydyke/plan"
)

// longName returns a name of 64 bytes.
func longName(kind string, i int) string {
	return fmt.Sprintf("%s-%04d-%s", kind, i, strings.Repeat("x", 58-len(kind)))
}

// drawReport draws a report of up to 1,000 upstreams, 8 services and 16 domains, with
// the largest values that occur.
func drawReport(t *rapid.T) dispatch.Report {
	var r dispatch.Report
	for i := range rapid.IntRange(0, 1000).Draw(t, "loads") {
		r.Loads = append(r.Loads, dispatch.Load{
			Upstream: dispatch.KeyOf(plan.UpstreamID(longName("upstream", i))),
			Short:    i * 7, Long: i * 5, Plain: i, PendingTokens: i * 40_000, ArrivalRate: i * 1_000_000, Waiting: i * 3, OverdueMs: i * 9_000,
			Speed: rapid.SliceOfN(rapid.IntRange(-1000, 1000), 0, dispatch.MaxSpeedSums).Draw(t, "speed"),
		})
	}
	for i := range rapid.IntRange(0, 300).Draw(t, "down") {
		key := dispatch.KeyOf(plan.UpstreamID(longName("upstream", i*3)))
		r.Down = append(r.Down, key, key)
	}
	for i := range rapid.IntRange(0, 8).Draw(t, "services") {
		s := dispatch.ServiceReport{Service: plan.ServiceID(longName("service", i)), WantedShortEngines: 1000, Sent: dispatch.SendCounts{FirstAttempts: 1 << 30, Retries: 1 << 20}}
		for range rapid.IntRange(0, 16).Draw(t, "remote") {
			s.RemoteWantedShort = append(s.RemoteWantedShort, 1000)
		}
		s.Prefill.Speed.Value, s.Prefill.BaseLatency.Weight = 91.7, 0.1
		r.Services = append(r.Services, s)
	}
	for i := range rapid.IntRange(0, 16).Draw(t, "domains") {
		r.Domains = append(r.Domains, dispatch.DomainAge{Domain: plan.DomainID(longName("domain", i)), Age: time.Minute})
	}
	return r
}

// TestSplitReportsFitIntoFrames checks that each part of a report fits into a frame, with
// the longest names and as many peers as a message may carry, that it can be decoded, and
// that the parts together say what the report says, in whatever order they arrive.
func TestSplitReportsFitIntoFrames(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		report := drawReport(t)
		var got dispatch.Report
		parts := report.Split(maxReportBytes)
		for i, part := range parts {
			msg := newMessage(1, "a", 1<<40)
			msg.Host, msg.Domain = plan.HostID(longName("host", 1)), plan.DomainID(longName("domain", 1))
			msg.Kind, msg.Hosts, msg.Report = KindRest, 1000, part
			for d, n := range []int{maxLocalPeers, maxRemotePeers} {
				peers := DomainPeers{Domain: plan.DomainID(longName("domain", d))}
				for i := range n {
					peers.Hosts = append(peers.Hosts, newPeer(addr(i+1), RoleReporter, maxPeerAge))
				}
				msg.Peers = append(msg.Peers, peers)
			}
			raw, err := msg.Encode()
			if err != nil || len(raw) > maxFrameBytes {
				t.Fatalf("part %d of %d takes %d bytes, error %v", i, len(parts), len(raw), err)
			}
			decoded, err := Decode(raw)
			if err != nil {
				t.Fatal(err)
			}
			got.Loads = append(got.Loads, decoded.Report.Loads...)
			got.Services = append(got.Services, decoded.Report.Services...)
			got.Down = append(got.Down, decoded.Report.Down...)
			got.Domains = append(got.Domains, decoded.Report.Domains...)
			checkRange(t, &decoded.Report)
		}
		want := report
		ignore := cmpopts.IgnoreUnexported(dispatch.Report{}, dispatch.Load{}, dispatch.ServiceReport{}, dispatch.PrefillTiming{}, dispatch.QuantileEstimate{}, dispatch.SendCounts{}, dispatch.DomainAge{})
		sorted := cmpopts.SortSlices(func(a, b dispatch.Load) bool { return a.Upstream < b.Upstream })
		sortedDown := cmpopts.SortSlices(func(a, b dispatch.UpstreamKey) bool { return a < b })
		if diff := cmp.Diff(want, got, ignore, sorted, sortedDown, cmpopts.EquateEmpty()); diff != "" {
			t.Fatal(diff)
		}
	})
}

// checkRange checks that a part says nothing of upstreams outside its range.
func checkRange(t *rapid.T, r *dispatch.Report) {
	for _, l := range r.Loads {
		if l.Upstream < r.First || r.Last != 0 && l.Upstream > r.Last {
			t.Fatalf("load of %d in a part from %d to %d", l.Upstream, r.First, r.Last)
		}
	}
}
