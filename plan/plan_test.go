package plan

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const validPlansFormat = `{"version": 2, "plans": [{"id": "gold", "tier": 1, "targets": {"chat": {"first-token": "540ms", "between-tokens": "30ms"}}}],
 "accounts": [{"id": "a", "plan": "gold", "key-hashes": ["%s"]}]}`

func validPlans() string { return fmt.Sprintf(validPlansFormat, strings.Repeat("ab", 32)) }

func TestDecodeRejectsInvalidLists(t *testing.T) {
	for name, test := range map[string]struct{ kind, raw, field string }{
		"unknown field":               {"plans", `{"version": 1, "nonsense": 1}`, ""},
		"trailing bytes":              {"plans", `{"version": 1} x`, ""},
		"missing version":             {"plans", `{}`, "version"},
		"tier out of range":           {"plans", `{"version": 1, "plans": [{"id": "x", "tier": 9}]}`, "plans[0].tier"},
		"account with undefined plan": {"plans", `{"version": 1, "accounts": [{"id": "a", "plan": "x"}]}`, "accounts[0].plan"},
		"bad key hash":                {"plans", `{"version": 1, "plans": [{"id": "x", "tier": 1}], "accounts": [{"id": "a", "plan": "x", "key-hashes": ["zz"]}]}`, "accounts[0].key-hashes"},
		"missing unit":                {"plans", `{"version": 1, "plans": [{"id": "x", "tier": 1, "targets": {"c": {"first-token": 5}}}]}`, ""},
		"share above 1":               {"entitlements", `{"version": 1, "entitlements": [{"plan": "x", "share": 1.5}]}`, "entitlements[0].share"},
		"sum of floors above 0.5":     {"entitlements", `{"version": 1, "floors": [{"tier": 2, "part": 0.3}, {"tier": 3, "part": 0.3}]}`, "floors"},
		"unknown class":               {"entitlements", `{"version": 1, "entitlements": [{"plan": "x", "share": 1, "classes": ["c"]}]}`, "entitlements[0].classes"},
		"address with host name":      {"upstreams", `{"version": 1, "upstreams": [{"id": "u", "address": "engine:80", "kind": "engine", "slots": 1, "state": "live"}]}`, "upstreams[0].address"},
		"duplicate host":              {"hosts", `{"version": 1, "hosts": [{"id": "h", "peer": "127.0.0.1:1", "domain": "d", "state": "live"}, {"id": "h", "peer": "127.0.0.1:1", "domain": "d", "state": "live"}]}`, "hosts[1].id"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := NewState().WithList(ListKind(test.kind), []byte(test.raw))
			var valueErr *ValueError
			var decodeErr *DecodeError
			switch {
			case errors.As(err, &valueErr) && test.field != "":
				if diff := cmp.Diff(test.field, valueErr.Field); diff != "" {
					t.Errorf("field (-want +got):\n%s", diff)
				}
			case errors.As(err, &valueErr), errors.As(err, &decodeErr):
			default:
				t.Errorf("got %v, want a ValueError or DecodeError", err)
			}
		})
	}
}

func TestWithListRejectsOldVersions(t *testing.T) {
	s, err := NewState().WithList(KindPlans, []byte(validPlans()))
	if err != nil {
		t.Fatal(err)
	}
	older := strings.Replace(validPlans(), `"version": 2`, `"version": 1`, 1)
	var versionErr *OldVersionError
	if _, err := s.WithList(KindPlans, []byte(older)); !errors.As(err, &versionErr) || versionErr.Conflict {
		t.Errorf("older version: got %v, want an OldVersionError without a conflict", err)
	}
	conflicting := strings.Replace(validPlans(), "gold", "silver", -1)
	if _, err := s.WithList(KindPlans, []byte(conflicting)); !errors.As(err, &versionErr) || !versionErr.Conflict {
		t.Errorf("same version with different content: got %v, want an OldVersionError with a conflict", err)
	}
}

// TestLargeListsFitSizeLimit checks that lists of the expected future size do
// not exceed the platform's limit for one value.
func TestLargeListsFitSizeLimit(t *testing.T) {
	const accountCount, upstreamCount, hostCount, modelCount = 560, 600, 370, 13
	planList := Plans{Version: 1, Plans: []Plan{{ID: "plan-1", Tier: 1}}}
	for i := range accountCount {
		planList.Accounts = append(planList.Accounts, Account{
			ID: AccountID(fmt.Sprintf("customer-account-%04d", i)), Plan: "plan-1",
			KeyHashes: []string{fmt.Sprintf("%064x", 2*i), fmt.Sprintf("%064x", 2*i+1)},
		})
	}
	upstreamList := Upstreams{Version: 1}
	var modelIDs []ModelID
	for i := range modelCount {
		modelIDs = append(modelIDs, ModelID(fmt.Sprintf("model-with-a-long-name-%02d", i)))
	}
	for i := range upstreamCount {
		upstreamList.Upstreams = append(upstreamList.Upstreams, Upstream{
			ID: UpstreamID(fmt.Sprintf("region-1-domain-3-engine-%04d", i)), Address: "10.200.200.200:65000",
			Domain: "region-1-domain-3", Kind: Engine, Models: modelIDs, Slots: 64, ChecksFencing: true, State: Leaving,
		})
	}
	hostList := Hosts{Version: 1}
	for i := range hostCount {
		hostList.Hosts = append(hostList.Hosts, Host{
			ID: HostID(fmt.Sprintf("region-1-domain-3-host-%04d", i)), Peer: "10.200.200.200:65000",
			Domain: "region-1-domain-3", Region: "region-1", State: Leaving,
		})
	}
	state := NewState()
	for kind, v := range map[ListKind]any{KindPlans: planList, KindUpstreams: upstreamList, KindHosts: hostList} {
		raw, err := json.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		if state, err = state.WithList(kind, raw); err != nil {
			t.Errorf("%s, %d bytes: %v", kind, len(raw), err)
		}
		t.Logf("%s: %d bytes", kind, len(raw))
	}
}

func FuzzState(f *testing.F) {
	f.Add("plans", []byte(validPlans()))
	f.Add("entitlements", []byte(`{"version": 1, "floors": [{"tier": 1, "part": 0.1}]}`))
	f.Add("upstreams", []byte(`{"version": 1, "upstreams": []}`))
	f.Add("hosts", []byte(`{"version": 1}`))
	f.Fuzz(func(t *testing.T, kind string, raw []byte) {
		s, err := NewState().WithList(ListKind(kind), raw)
		if err == nil && s.Versions().Of(ListKind(kind)) == 0 {
			t.Error("a list without a version was accepted")
		}
	})
}
