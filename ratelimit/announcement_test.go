package ratelimit

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestAnnouncedRates guards against rates that are malformed, given twice or out of range
// and are taken for no limit, or for a higher one than the upstream may have meant.
func TestAnnouncedRates(t *testing.T) {
	type result struct {
		Rate              Rate
		Unusable, Problem bool
	}
	lowest, err := NewRate(0)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name   string
		values []string
		want   result
	}{
		{"none", nil, result{}},
		{"integer", []string{"4"}, result{Rate: 4}},
		{"fraction", []string{" 0.5 "}, result{Rate: 0.5}},
		{"without integer part", []string{".5"}, result{Rate: 0.5}},
		{"zero", []string{"0"}, result{Rate: lowest, Problem: true}},
		{"twice", []string{"4", "2"}, result{Rate: 2, Problem: true}},
		{"list", []string{"2, 4"}, result{Rate: 2, Problem: true}},
		{"one of two malformed", []string{"x", "3"}, result{Rate: 3, Problem: true}},
		{"empty", []string{""}, result{Unusable: true, Problem: true}},
		{"text", []string{"many"}, result{Unusable: true, Problem: true}},
		{"negative", []string{"-1"}, result{Unusable: true, Problem: true}},
		{"huge", []string{"1000000000"}, result{Unusable: true, Problem: true}},
		{"beyond all numbers", []string{"1e999"}, result{Unusable: true, Problem: true}},
		{"not finite", []string{"NaN", "Inf"}, result{Unusable: true, Problem: true}},
	} {
		got := ParseAnnouncement(c.values)
		if diff := cmp.Diff(c.want, result{got.Rate, got.Unusable, got.Problem != nil}); diff != "" {
			t.Errorf("%s: %s", c.name, diff)
		}
	}
}
