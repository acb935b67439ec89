package route

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

func testTable() *Table {
	split := []Split{{Service: "old", Weight: 90}, {Service: "new", Weight: 10}}
	routes := []*Route{
		{Name: "all", Host: "x.example", Prefix: "/", Splits: split},
		{Name: "deep", Host: "x.example", Prefix: "/a/b/", Splits: split, Anonymous: true},
		{Name: "shallow", Host: "x.example", Prefix: "/a/", Splits: split},
	}
	return NewTable(3, Limits{}, routes, nil, map[string]*Account{"k": {ID: "acme"}})
}

func TestLongestPrefixOfTheHostMatches(t *testing.T) {
	table := testTable()
	for path, want := range map[string]Name{"/a/b/c": "deep", "/a/bc": "shallow", "/a/": "shallow", "/b": "all", "/a": "all"} {
		if got := table.Match("X.example:8080", path); got == nil || got.Name != want {
			t.Errorf("%s matches %v, want %s", path, got, want)
		}
	}
	if got := table.Match("y.example", "/a/"); got != nil {
		t.Errorf("another host matches %s", got.Name)
	}
}

func TestKeysAndAnonymousRoutes(t *testing.T) {
	table := testTable()
	if !table.NeedsKey(table.Match("x.example", "/a/")) || table.NeedsKey(table.Match("x.example", "/a/b/")) {
		t.Error("anonymous routes and others are mixed up")
	}
	if table.AccountForKey("k") == nil || table.AccountForKey("") != nil || table.AccountForKey("other") != nil {
		t.Error("holders of keys are mixed up")
	}
	open := NewTable(1, Limits{}, nil, nil, nil)
	if open.NeedsKey(&Route{}) {
		t.Error("a table without accounts asks for keys")
	}
}

func TestSplitFollowsItsWeights(t *testing.T) {
	r := testTable().Match("x.example", "/a/")
	counts := map[string]int{}
	for i := range 1000 {
		counts[string(r.PickService(float64(i)/1000))]++
	}
	if diff := cmp.Diff(map[string]int{"old": 900, "new": 100}, counts); diff != "" {
		t.Error(diff)
	}
	if !r.Allows("new") || r.Allows("other") {
		t.Error("services of the split are mixed up")
	}
}

func TestOnlyRepeatableRoutesMayRunTwice(t *testing.T) {
	for _, c := range []struct {
		route Route
		want  bool
	}{
		{Route{Kind: Idempotent}, true}, {Route{Kind: NonIdempotent}, false}, {Route{Kind: NonIdempotent, Resumable: true}, false},
		{Route{Kind: Stream}, false}, {Route{Kind: Stream, Resumable: true}, true},
	} {
		if got := c.route.Retryable(); got != c.want {
			t.Errorf("%s, resumable %v: %v", c.route.Kind, c.route.Resumable, got)
		}
	}
}
