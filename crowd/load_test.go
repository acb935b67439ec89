//go:build crowd

package crowd

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
)

// TestEntryHostTouchesNoOrdinaryCaller guards against limits that ordinary operation reaches: many
// callers with bodies of the usual size, who keep their connections.
func TestEntryHostTouchesNoOrdinaryCaller(t *testing.T) {
	const callers, requests = 150, 20
	p, ip := startEntryHost(t)
	o := entryHostOrdinary(ip)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}, Timeout: answerTimeout}
	body := bytes.Repeat([]byte("x"), 60_000)
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			for range requests {
				if status, err := o.send(client, bytes.NewReader(body), int64(len(body))); status != http.StatusOK {
					t.Errorf("status %d, error %v", status, err)
				}
			}
		})
	}
	wg.Wait()
	response, err := http.Get(fmt.Sprintf("http://%s:%d/metrics", ip, metricsPort))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"caller_connections_ended_total", "caller_requests_over_limit_total"} {
		if line := "mulberrydyke_" + name + `{listener="callers"} 0` + "\n"; !strings.Contains(string(raw), line) {
			t.Errorf("the metrics lack %q", line)
		}
	}
	p.check(t)
}
