package route

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

func testTable() *Table {
	splits := []Split{{Service: "old", Weight: 90}, {Service: "new", Weight: 10}}
	routes := []*Route{
		{Name: "all", Host: "x.example", Prefix: "/", Splits: splits},
		{Name: "deep", Host: "x.example", Prefix: "/a/b/", Splits: splits, Anonymous: true},
		{Name: "shallow", Host: "x.example", Prefix: "/a/", Splits: splits},
	}
	return NewTable(3, Limits{}, routes, nil, map[string]*Account{"k": {ID: "acme"}})
}

func TestMatchUsesLongestPrefixOfHost(t *testing.T) {
	table := testTable()
	for path, want := range map[string]Name{"/a/b/c": "deep", "/a/bc": "shallow", "/a/": "shallow", "/b": "all", "/a": "all"} {
		if got := table.Match("X.example:8080", path); got == nil || got.Name != want {
			t.Errorf("%s matched %v, want %s", path, got, want)
		}
	}
	if got := table.Match("y.example", "/a/"); got != nil {
		t.Errorf("unknown host matched route %s", got.Name)
	}
}

func TestKeysAndAnonymousRoutes(t *testing.T) {
	table := testTable()
	if !table.NeedsKey(table.Match("x.example", "/a/")) || table.NeedsKey(table.Match("x.example", "/a/b/")) {
		t.Error("only routes that are not anonymous should need a key")
	}
	if table.AccountForKey("k") == nil || table.AccountForKey("") != nil || table.AccountForKey("other") != nil {
		t.Error("only a known key should have an account")
	}
	withoutKeys := NewTable(1, Limits{}, nil, nil, nil)
	if withoutKeys.NeedsKey(&Route{}) {
		t.Error("table without accounts needs a key")
	}
}

func TestPickServiceFollowsWeights(t *testing.T) {
	r := testTable().Match("x.example", "/a/")
	counts := map[string]int{}
	for i := range 1000 {
		counts[string(r.PickService(float64(i)/1000))]++
	}
	if diff := cmp.Diff(map[string]int{"old": 900, "new": 100}, counts); diff != "" {
		t.Error(diff)
	}
	if !r.Allows("new") || r.Allows("other") {
		t.Error("only the services of the splits should be allowed")
	}
}

func TestRouteRetryable(t *testing.T) {
	for _, c := range []struct {
		route Route
		want  bool
	}{
		{Route{Kind: Idempotent}, true}, {Route{Kind: NonIdempotent}, false}, {Route{Kind: NonIdempotent, Resumable: true}, false},
		{Route{Kind: Stream}, false}, {Route{Kind: Stream, Resumable: true}, true},
	} {
		if got := c.route.Retryable(); got != c.want {
			t.Errorf("%s, resumable %v: Retryable is %v", c.route.Kind, c.route.Resumable, got)
		}
	}
}
