package drain

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestAnnouncements guards against flags that are malformed, unset or given twice and take an
// upstream out of use, or hide that it is draining.
func TestAnnouncements(t *testing.T) {
	type result struct{ Draining, Problem bool }
	for _, c := range []struct {
		name   string
		values []string
		want   result
	}{
		{"none", nil, result{}},
		{"set", []string{"1"}, result{Draining: true}},
		{"padded", []string{" 1 "}, result{Draining: true}},
		{"unset", []string{"0"}, result{Problem: true}},
		{"twice", []string{"1", "1"}, result{Draining: true, Problem: true}},
		{"set and unset", []string{"0", "1"}, result{Draining: true, Problem: true}},
		{"list", []string{"0,1"}, result{Draining: true, Problem: true}},
		{"empty", []string{""}, result{Problem: true}},
		{"word", []string{"true"}, result{Problem: true}},
		{"number", []string{"11"}, result{Problem: true}},
		{"negative", []string{"-1"}, result{Problem: true}},
	} {
		got := ParseAnnouncement(c.values)
		if diff := cmp.Diff(c.want, result{got.Draining, got.Problem != nil}); diff != "" {
			t.Errorf("%s: %s", c.name, diff)
		}
	}
}
