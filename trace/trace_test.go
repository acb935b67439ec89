package trace

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const testLog = `
time=2026-03-01T09:00:00.000Z level=INFO msg="store lost" host=h1 as-of=5
time=2026-03-01T09:00:08.000Z level=INFO msg="upstream gone" host=h1 upstream=u1 revision=7
time=2026-03-01T09:00:08.100Z level=INFO msg="upstream gone" host=h1 upstream=u2 revision=8
time=2026-03-01T09:00:08.200Z level=INFO msg="upstream gone" host=h2 upstream=u1 revision=7
time=2026-03-01T09:00:09.000Z level=INFO msg="request ended" host=h1 id=b upstream=u1
time=2026-03-01T09:00:10.000Z level=INFO msg="request ended" host=h1 id=a upstream=u1
time=2026-03-01T09:00:09.500Z level=INFO msg="try failed" host=h1 id=a upstream=u1
noise
time=2026-03-01T09:00:09.600Z level=INFO msg="table in force" host=h1 version=3
`

func TestForRequestReturnsRelatedLinesInOrder(t *testing.T) {
	lines, err := Read(strings.NewReader(testLog))
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, l := range ForRequest("a", lines) {
		got = append(got, l.Time.Format("05.0"))
	}
	if diff := cmp.Diff([]string{"08.0", "09.5", "09.6", "10.0"}, got); diff != "" {
		t.Error(diff)
	}
	if ForRequest("none", lines) != nil {
		t.Error("lines were returned for an unknown request")
	}
}
