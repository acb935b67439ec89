package edge

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// TestEvacuatedDomainGetsNoRequests guards against requests that reach an upstream of an evacuated
// failure domain after the bound, ones that are refused though another domain could serve them,
// a domain that gets none after it was taken back, and callers that are not told when to come back
// while no domain serves them.
func TestEvacuatedDomainGetsNoRequests(t *testing.T) {
	own, other := newDrainingUpstream(t), newDrainingUpstream(t)
	store := newMutableStore(t, releaseTable)
	store.list("own", own.address())
	store.put("servers/other", fmt.Sprintf(`{"service":"pool","address":%q,"zone":"b","version":"v","slots":4,"state":"ready","coldRemainingMs":0,"sequence":1}`, other.address()))
	urls := startFleet(t, 3, store.address())
	// received sends requests for a second and returns how many reached an upstream.
	received := func(u *drainingUpstream) int {
		u.mu.Lock()
		before := len(u.received)
		u.mu.Unlock()
		if failed := sendFor(t, urls, 60, time.Second); failed > 0 {
			t.Errorf("%d requests were not served", failed)
		}
		u.mu.Lock()
		defer u.mu.Unlock()
		return len(u.received) - before
	}
	if n := received(own); n == 0 {
		t.Error("no request reached the upstream before the evacuation")
	}
	store.put("op/evacuate/a", "{}")
	time.Sleep(evacuationBound)
	if n := received(own); n > 0 {
		t.Errorf("%d requests reached the evacuated upstream", n)
	}
	store.put("op/evacuate/a", "")
	for deadline := time.Now().Add(evacuationBound); received(own) == 0; {
		if time.Now().After(deadline) {
			t.Fatal("no request reached the upstream after the domain was taken back")
		}
	}
	store.put("op/evacuate/a", "{}")
	store.put("op/evacuate/b", "{}")
	time.Sleep(evacuationBound)
	r, _ := http.NewRequest(http.MethodGet, urls[0], nil)
	r.Host = "127.0.0.4"
	r.Header.Set("Request-Id", "last")
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" {
		t.Errorf("status %d and the time %q to come back while all domains are evacuated", response.StatusCode, response.Header.Get("Retry-After"))
	}
}
