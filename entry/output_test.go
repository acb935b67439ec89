package entry

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/google/go-cmp/cmp"

	"mulberrydyke/ticket"
)

// TestOnlyFinalStatusesReachCallers guards against answers with a status that is none, as another host may
// hand them on, which callers get with status 200.
func TestOnlyFinalStatusesReachCallers(t *testing.T) {
	for status, want := range map[int]any{0: http.ErrAbortHandler, 20: http.ErrAbortHandler, 199: http.ErrAbortHandler, 200: 200, 404: 404, 599: 599} {
		if diff := cmp.Diff(want, beginWith(status), cmp.Comparer(func(x, y error) bool { return x == y })); diff != "" {
			t.Errorf("status %d: %s", status, diff)
		}
	}
}

// beginWith begins an answer with a status. It returns the status that the caller gets, or what the
// handler of the request panics with.
func beginWith(status int) (got any) {
	defer func() {
		if failure := recover(); failure != nil {
			got = failure
		}
	}()
	recorder := httptest.NewRecorder()
	o := &callerOutput{w: recorder}
	o.Begin(ticket.Head{Status: status})
	return recorder.Code
}
