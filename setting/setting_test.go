package setting

import (
	"errors"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func example(t *testing.T) string {
	t.Helper()
	raw, err := os.ReadFile("example.jsonc")
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}

func TestExampleLoads(t *testing.T) {
	h, err := Load("example.jsonc")
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(DefaultBounds(), h.Bounds); diff != "" {
		t.Errorf("the example's bounds are not the defaults (-want +got):\n%s", diff)
	}
}

// TestRejects checks that bad settings are refused with file, line and field.
func TestRejects(t *testing.T) {
	for name, c := range map[string]struct{ old, new, field string }{
		"unknown field":       {`"stop-time"`, `"stop-tme"`, "stop-tme"},
		"unit missing":        {`"10m",`, `"10",`, "stop-time"},
		"number for a span":   {`"silence": "10s"`, `"silence": 10`, "silence"},
		"name in place of IP": {`"127.0.0.1:8080"`, `"localhost:8080"`, "callers"},
		"out of range":        {`"retry-part": 0.1`, `"retry-part": 7`, "retry-part"},
		"short key":           {"replace this by a secret", "short", "peer-key"},
		"wrong type":          {`"connections": 4096`, `"connections": "many"`, "bounds.connections"},
		"no platform":         {`["127.0.0.1:8500"]`, `[]`, "platform"},
	} {
		t.Run(name, func(t *testing.T) {
			raw := strings.Replace(example(t), c.old, c.new, 1)
			_, err := Parse("x.jsonc", []byte(raw))
			var e *Error
			if !errors.As(err, &e) {
				t.Fatalf("got %v, want a typed error", err)
			}
			if e.File != "x.jsonc" || e.Line < 2 || e.Field != c.field {
				t.Errorf("got %s:%d %s, want field %s with its line", e.File, e.Line, e.Field, c.field)
			}
		})
	}
}
