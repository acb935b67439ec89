package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"mulberrydyke/load"
	"mulberrydyke/plan"
)

// writeLists writes the lists of a profile after a change and returns the
// arguments that check them.
func writeLists(t *testing.T, change func(*plan.Plans, *plan.Entitlements)) []string {
	t.Helper()
	plans, entitled := load.Profiles()["blue-mahoe"].Lists()
	change(plans, entitled)
	dir := t.TempDir()
	args := []string{"check"}
	for name, list := range map[string]any{"plans": plans, "entitlements": entitled} {
		raw, err := json.Marshal(list)
		if err != nil {
			t.Fatal(err)
		}
		file := filepath.Join(dir, name+".json")
		if err := os.WriteFile(file, raw, 0o600); err != nil {
			t.Fatal(err)
		}
		args = append(args, "--"+name, file)
	}
	return args
}

func TestExitStatuses(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.jsonc")
	if err := os.WriteFile(bad, []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	nothing := func(*plan.Plans, *plan.Entitlements) {}
	for name, c := range map[string]struct {
		args []string
		want int
	}{
		"version":            {[]string{"version"}, exitOK},
		"good settings":      {[]string{"check", "--settings", "../../setting/example.jsonc"}, exitOK},
		"bad settings":       {[]string{"check", "--settings", bad}, exitSettings},
		"serve, bad":         {[]string{"serve", bad}, exitSettings},
		"good lists":         {writeLists(t, nothing), exitOK},
		"bad list":           {writeLists(t, func(p *plan.Plans, _ *plan.Entitlements) { p.Plans[0].Tier = 99 }), exitLists},
		"lists that clash":   {writeLists(t, func(_ *plan.Plans, e *plan.Entitlements) { e.Entitlements[0].Plan = "another" }), exitLists},
		"class, no target":   {writeLists(t, func(p *plan.Plans, _ *plan.Entitlements) { p.Plans[0].Targets = nil }), exitLists},
		"unknown command":    {[]string{"nonsense"}, exitFailed},
		"no host to look at": {[]string{"status", "127.0.0.1:1"}, exitFailed},
	} {
		t.Run(name, func(t *testing.T) {
			if got := run(c.args); got != c.want {
				t.Errorf("%s: exit status %d, want %d", strings.Join(c.args, " "), got, c.want)
			}
		})
	}
}
