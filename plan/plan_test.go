package plan

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const goodPlans = `{"version": 2, "plans": [{"id": "gold", "tier": 1, "targets": {"chat": {"first-token": "540ms", "between-tokens": "30ms"}}}],
 "accounts": [{"id": "a", "plan": "gold", "key-hashes": ["%s"]}]}`

func plansJSON() string { return fmt.Sprintf(goodPlans, strings.Repeat("ab", 32)) }

func TestDecodeRejects(t *testing.T) {
	for name, c := range map[string]struct{ kind, raw, field string }{
		"unknown field":     {"plans", `{"version": 1, "nonsense": 1}`, ""},
		"trailing bytes":    {"plans", `{"version": 1} x`, ""},
		"no version":        {"plans", `{}`, "version"},
		"tier out of range": {"plans", `{"version": 1, "plans": [{"id": "x", "tier": 9}]}`, "plans[0].tier"},
		"dangling plan":     {"plans", `{"version": 1, "accounts": [{"id": "a", "plan": "x"}]}`, "accounts[0].plan"},
		"bad key hash":      {"plans", `{"version": 1, "plans": [{"id": "x", "tier": 1}], "accounts": [{"id": "a", "plan": "x", "key-hashes": ["zz"]}]}`, "accounts[0].key-hashes"},
		"unit missing":      {"plans", `{"version": 1, "plans": [{"id": "x", "tier": 1, "targets": {"c": {"first-token": 5}}}]}`, ""},
		"share above 1":     {"entitlements", `{"version": 1, "entitlements": [{"plan": "x", "share": 1.5}]}`, "entitlements[0].share"},
		"floors above half": {"entitlements", `{"version": 1, "floors": [{"tier": 2, "part": 0.3}, {"tier": 3, "part": 0.3}]}`, "floors"},
		"unknown class":     {"entitlements", `{"version": 1, "entitlements": [{"plan": "x", "share": 1, "classes": ["c"]}]}`, "entitlements[0].classes"},
		"host by name":      {"upstreams", `{"version": 1, "upstreams": [{"id": "u", "address": "engine:80", "kind": "engine", "slots": 1, "state": "live"}]}`, "upstreams[0].address"},
		"same host twice":   {"hosts", `{"version": 1, "hosts": [{"id": "h", "peer": "127.0.0.1:1", "domain": "d", "state": "live"}, {"id": "h", "peer": "127.0.0.1:1", "domain": "d", "state": "live"}]}`, "hosts[1].id"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := NewState().WithList(ListKind(c.kind), []byte(c.raw))
			var value *ValueError
			var decode *DecodeError
			switch {
			case errors.As(err, &value) && c.field != "":
				if diff := cmp.Diff(c.field, value.Field); diff != "" {
					t.Errorf("field (-want +got):\n%s", diff)
				}
			case errors.As(err, &value), errors.As(err, &decode):
			default:
				t.Errorf("got %v, want a typed error", err)
			}
		})
	}
}

func TestVersionsNeverGoBack(t *testing.T) {
	s, err := NewState().WithList(KindPlans, []byte(plansJSON()))
	if err != nil {
		t.Fatal(err)
	}
	older := strings.Replace(plansJSON(), `"version": 2`, `"version": 1`, 1)
	var old *OldVersionError
	if _, err := s.WithList(KindPlans, []byte(older)); !errors.As(err, &old) || old.Conflict {
		t.Errorf("an older version: %v", err)
	}
	other := strings.Replace(plansJSON(), "gold", "silver", -1)
	if _, err := s.WithList(KindPlans, []byte(other)); !errors.As(err, &old) || !old.Conflict {
		t.Errorf("other content under the same version: %v", err)
	}
}

// TestListsFitThePlatform checks that lists of the size to come fit a value of
// the platform.
func TestListsFitThePlatform(t *testing.T) {
	const accounts, upstreams, hosts, models = 560, 600, 370, 13
	plans := Plans{Version: 1, Plans: []Plan{{ID: "plan-1", Tier: 1}}}
	for i := range accounts {
		plans.Accounts = append(plans.Accounts, Account{
			ID: AccountID(fmt.Sprintf("customer-account-%04d", i)), Plan: "plan-1",
			KeyHashes: []string{fmt.Sprintf("%064x", 2*i), fmt.Sprintf("%064x", 2*i+1)},
		})
	}
	ups := Upstreams{Version: 1}
	var all []ModelID
	for i := range models {
		all = append(all, ModelID(fmt.Sprintf("model-with-a-long-name-%02d", i)))
	}
	for i := range upstreams {
		ups.Upstreams = append(ups.Upstreams, Upstream{
			ID: UpstreamID(fmt.Sprintf("region-1-domain-3-engine-%04d", i)), Address: "10.200.200.200:65000",
			Domain: "region-1-domain-3", Kind: Engine, Models: all, Slots: 64, ChecksFencing: true, State: Leaving,
		})
	}
	list := Hosts{Version: 1}
	for i := range hosts {
		list.Hosts = append(list.Hosts, Host{
			ID: HostID(fmt.Sprintf("region-1-domain-3-host-%04d", i)), Peer: "10.200.200.200:65000",
			Domain: "region-1-domain-3", Region: "region-1", State: Leaving,
		})
	}
	state := NewState()
	for kind, v := range map[ListKind]any{KindPlans: plans, KindUpstreams: ups, KindHosts: list} {
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
	f.Add("plans", []byte(plansJSON()))
	f.Add("entitlements", []byte(`{"version": 1, "floors": [{"tier": 1, "part": 0.1}]}`))
	f.Add("upstreams", []byte(`{"version": 1, "upstreams": []}`))
	f.Add("hosts", []byte(`{"version": 1}`))
	f.Fuzz(func(t *testing.T, kind string, raw []byte) {
		s, err := NewState().WithList(ListKind(kind), raw)
		if err == nil && s.Versions().Of(ListKind(kind)) == 0 {
			t.Error("a list without a version is in force")
		}
	})
}
