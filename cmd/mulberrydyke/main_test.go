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

// writeLists applies change to the lists of a profile, writes them to files and
// returns the arguments of the check command for these files.
func writeLists(t *testing.T, change func(*plan.Plans, *plan.Entitlements)) []string {
	t.Helper()
	plans, entitlements := load.Profiles()["blue-mahoe"].Lists()
	change(plans, entitlements)
	dir := t.TempDir()
	args := []string{"check"}
	for name, list := range map[string]any{"plans": plans, "entitlements": entitlements} {
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
	badSettings := filepath.Join(t.TempDir(), "bad.jsonc")
	if err := os.WriteFile(badSettings, []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	unchanged := func(*plan.Plans, *plan.Entitlements) {}
	for name, tc := range map[string]struct {
		args []string
		want int
	}{
		"version":                     {[]string{"version"}, exitOK},
		"valid settings":              {[]string{"check", "--settings", "../../setting/example.jsonc"}, exitOK},
		"invalid settings":            {[]string{"check", "--settings", badSettings}, exitSettings},
		"serve with invalid settings": {[]string{"serve", badSettings}, exitSettings},
		"valid lists":                 {writeLists(t, unchanged), exitOK},
		"invalid list":                {writeLists(t, func(p *plan.Plans, _ *plan.Entitlements) { p.Plans[0].Tier = 99 }), exitLists},
		"inconsistent lists":          {writeLists(t, func(_ *plan.Plans, e *plan.Entitlements) { e.Entitlements[0].Plan = "another" }), exitLists},
		"class without target":        {writeLists(t, func(p *plan.Plans, _ *plan.Entitlements) { p.Plans[0].Targets = nil }), exitLists},
		"unknown command":             {[]string{"nonsense"}, exitFailed},
		"status of unreachable host":  {[]string{"status", "127.0.0.1:1"}, exitFailed},
	} {
		t.Run(name, func(t *testing.T) {
			if got := run(tc.args); got != tc.want {
				t.Errorf("%s: exit status %d, want %d", strings.Join(tc.args, " "), got, tc.want)
			}
		})
	}
}
