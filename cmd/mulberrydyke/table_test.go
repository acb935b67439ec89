package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestCheckTableExitStatuses guards against a faulty configuration that passes the
// check, and against wrong arguments that look like a finding.
func TestCheckTableExitStatuses(t *testing.T) {
	dir := t.TempDir()
	file := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	const rest = `"routes":[{"name":"r","host":"h","prefix":"/","kind":"idempotent","timeoutMs":5000,"service":"pool"}],"services":[{"name":"pool"}]}`
	old, next := file("old.json", `{"version":1,`+rest), file("next.json", `{"version":2,`+rest)
	broken, missing := file("broken.json", "{\n\"version\": x}"), filepath.Join(dir, "missing.json")
	for name, tc := range map[string]struct {
		args []string
		want int
	}{
		"warnings only":              {[]string{"--table", next}, exitOK},
		"higher version":             {[]string{"--table", next, "--in-force", old, "--json"}, exitOK},
		"lower version":              {[]string{"--table", old, "--in-force", next}, exitLists},
		"not JSON":                   {[]string{"--table", broken}, exitLists},
		"missing file":               {[]string{"--table", missing}, exitSettings},
		"missing version in force":   {[]string{"--table", next, "--in-force", missing}, exitSettings},
		"undecodable one in force":   {[]string{"--table", next, "--in-force", broken}, exitSettings},
		"nothing to compare":         {[]string{"--in-force", old}, exitSettings},
		"JSON without configuration": {[]string{"--json"}, exitSettings},
		"configuration and lists":    {[]string{"--table", next, "--plans", old}, exitSettings},
		"unknown flag":               {[]string{"--tables", next}, exitSettings},
		"argument":                   {[]string{next}, exitSettings},
	} {
		t.Run(name, func(t *testing.T) {
			if got := run(append([]string{"check"}, tc.args...)); got != tc.want {
				t.Errorf("exit status %d, want %d", got, tc.want)
			}
		})
	}
}

// TestTableOutput guards against changes of the output that programs read, and of the
// line that is named when a file isn't JSON.
func TestTableOutput(t *testing.T) {
	path := filepath.Join(t.TempDir(), "broken.json")
	if err := os.WriteFile(path, []byte("{\n\"version\": x}"), 0o600); err != nil {
		t.Fatal(err)
	}
	for asJSON, want := range map[bool]string{
		false: "error: configuration: Every host refuses the configuration, since it can't be decoded: decode op/config: line 2: invalid character 'x' looking for beginning of value.\n",
		true:  `{"findings":[{"severity":"error","entry":{"part":"configuration"},"sentence":"Every host refuses the configuration, since it can't be decoded: decode op/config: line 2: invalid character 'x' looking for beginning of value."}]}` + "\n",
	} {
		var out bytes.Buffer
		err := (&tableCheck{file: path, asJSON: asJSON}).run(&out)
		if exitStatus(err) != exitLists {
			t.Errorf("error %v, want one about findings", err)
		}
		if diff := cmp.Diff(want, out.String()); diff != "" {
			t.Error(diff)
		}
	}
}
