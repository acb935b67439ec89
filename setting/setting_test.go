package setting

import (
	"errors"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func readExample(t *testing.T) string {
	t.Helper()
	raw, err := os.ReadFile("example.jsonc")
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}

func TestLoadExample(t *testing.T) {
	h, err := Load("example.jsonc")
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(DefaultBounds(), h.Bounds); diff != "" {
		t.Errorf("the example's bounds differ from the defaults (-want +got):\n%s", diff)
	}
}

// TestParseRejectsInvalidSettings checks that errors for invalid settings give
// the file, line and field.
func TestParseRejectsInvalidSettings(t *testing.T) {
	for name, test := range map[string]struct{ old, new, field string }{
		"unknown field":         {`"stop-time"`, `"stop-tme"`, "stop-tme"},
		"missing unit":          {`"10m",`, `"10",`, "stop-time"},
		"number for a duration": {`"silence": "10s"`, `"silence": 10`, "silence"},
		"host name for an IP":   {`"127.0.0.1:8080"`, `"localhost:8080"`, "callers"},
		"out of range":          {`"retry-part": 0.1`, `"retry-part": 7`, "retry-part"},
		"short key":             {"replace this by a secret", "short", "peer-key"},
		"wrong type":            {`"connections": 4096`, `"connections": "many"`, "bounds.connections"},
		"missing platform":      {`["127.0.0.1:8500"]`, `[]`, "platform"},
	} {
		t.Run(name, func(t *testing.T) {
			raw := strings.Replace(readExample(t), test.old, test.new, 1)
			_, err := Parse("x.jsonc", []byte(raw))
			var settingErr *Error
			if !errors.As(err, &settingErr) {
				t.Fatalf("got %v, want an Error", err)
			}
			if settingErr.File != "x.jsonc" || settingErr.Line < 2 || settingErr.Field != test.field {
				t.Errorf("got %s:%d %s, want field %s with its line", settingErr.File, settingErr.Line, settingErr.Field, test.field)
			}
		})
	}
}
