//go:build crowd

package crowd

import (
	"crypto/sha256"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"testing"

	"mulberrydyke/load"
	"mulberrydyke/plan"
	"mulberrydyke/standin"
)

// callerKey is the key of the account that ordinary requests belong to.
const callerKey = "a key for the crowd's tests"

// newPlatform starts stand-ins for the platform and a plain service, and returns the address of the
// platform.
func newPlatform(t *testing.T, peers string) string {
	t.Helper()
	service := standin.NewService("press-1")
	serviceAddress, cleanup, err := service.Serve("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cleanup)
	p := standin.NewPlatform()
	p.Publish(plan.KindPlans, fmt.Appendf(nil, `{"version":1,"plans":[{"id":"counter","tier":1}],
"accounts":[{"id":"a","plan":"counter","key-hashes":[%q]}]}`, fmt.Sprintf("%x", sha256.Sum256([]byte(callerKey)))))
	p.Publish(plan.KindEntitlements, []byte(`{"version":1,"classes":[{"id":"print","idempotent":true}],
"services":[{"id":"press","calls":[{"method":"POST","path":"/labels","idempotent":true}]}],
"entitlements":[{"plan":"counter","classes":["print"],"services":["press"],"share":0.5}],"quarantine":"1m"}`))
	p.PublishList(plan.KindUpstreams, &plan.Upstreams{Version: 1, Upstreams: []plan.Upstream{{
		ID: "press-1", Address: serviceAddress, Domain: "a", Kind: plan.PlainService, Service: "press", Slots: 8, State: plan.Live,
	}}})
	p.PublishList(plan.KindHosts, &plan.Hosts{Version: 1, Hosts: []plan.Host{{ID: "h", Peer: peers, Domain: "a", Region: "r", State: plan.Live}}})
	address, cleanup, err := p.Serve("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cleanup)
	return address
}

// served is a host that mulberrydyke serve runs, with the addresses of its listeners.
type served struct {
	*process
	callers, operators string
}

func startServe(t *testing.T) served {
	t.Helper()
	var addresses [3]string
	for i := range addresses {
		address, err := load.FreeAddress()
		if err != nil {
			t.Fatal(err)
		}
		addresses[i] = address
	}
	settings := fmt.Sprintf(`{"id":"h","domain":"a","region":"r","listen":{"callers":%q,"operators":%q,"peers":%q},
"platform":[%q],"peer-key":"a key with 16 bytes","bounds":{"body-bytes":%d,"connections":350,"memory-bytes":%d}}`,
		addresses[0], addresses[1], addresses[2], newPlatform(t, addresses[2]), maxBody, memoryMB<<20)
	file := filepath.Join(t.TempDir(), "settings.jsonc")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	p := startProcess(t, os.Environ(), buildProgram(t, "mulberrydyke"), "serve", file)
	awaitReady(t, p, "http://"+addresses[1]+"/readyz")
	return served{p, addresses[0], addresses[1]}
}

func (s served) ordinary() ordinary {
	return ordinary{
		url:    "http://" + s.callers + "/v1/services/press/labels",
		header: http.Header{"Authorization": {"Bearer " + callerKey}, "Content-Type": {"text/plain"}},
	}
}

// TestServeServesRequestsInsideTheLimits guards against limits that touch sound callers.
func TestServeServesRequestsInsideTheLimits(t *testing.T) {
	s := startServe(t)
	s.ordinary().checkLimitsServed(t)
	s.check(t)
}

// serveStart is the start of a request to mulberrydyke serve, up to its last header line.
const serveStart = "POST /v1/services/press/labels HTTP/1.1\r\nHost: crowd\r\nAuthorization: Bearer " + callerKey + "\r\n"

// TestServeOutlivesCrowd guards against callers who end the process by its memory or its
// descriptors, or keep it from answering others.
func TestServeOutlivesCrowd(t *testing.T) {
	for _, s := range scripts(serveStart) {
		t.Run(s.name, func(t *testing.T) { runServeCrowd(t, served.callerAddress, s) })
	}
	t.Run("all at once", func(t *testing.T) { runServeCrowd(t, served.callerAddress, scripts(serveStart)...) })
}

// TestServeOutlivesCrowdAtOperators guards against the same at the listener for operators.
func TestServeOutlivesCrowdAtOperators(t *testing.T) {
	for _, s := range scripts("GET /metrics HTTP/1.1\r\nHost: crowd\r\n") {
		t.Run(s.name, func(t *testing.T) { runServeCrowd(t, served.operatorAddress, s) })
	}
}

func (s served) callerAddress() string   { return s.callers }
func (s served) operatorAddress() string { return s.operators }

// runServeCrowd checks a host during and after crowds at one of its listeners.
func runServeCrowd(t *testing.T, address func(served) string, s ...script) {
	host := startServe(t)
	host.ordinary().checkAnswered(t)
	var c crowd
	defer c.close()
	c.sendAll(address(host), s)
	host.ordinary().checkAnswered(t)
	awaitReady(t, host.process, "http://"+host.operators+"/readyz")
	host.check(t)
}
