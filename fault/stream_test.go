package fault

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"mulberrydyke/plan"
	"mulberrydyke/standin"
)

// setServiceDisconnectAfterRun sets whether the plain service closes the connection after
// a run instead of responding.
func (f *fleet) setServiceDisconnectAfterRun(disconnect bool) {
	f.service.SetFaults(standin.ServiceFaults{DisconnectAfterRun: disconnect})
}

// draftCall returns a request of class draft, which is idempotent.
func draftCall(i, outputTokens int) call {
	return call{class: "draft", prompt: fmt.Sprintf("draft %d", i), outputTokens: outputTokens}
}

// checkComplete fails the test unless the response is complete and belongs to the call.
func checkComplete(t *testing.T, r callResult, c call) {
	t.Helper()
	if r.status != 200 || r.err != nil {
		t.Errorf("%s: status %d, %v: %.300s", c.prompt, r.status, r.err, r.body)
		return
	}
	if got := messageContent(t, r); got != expectedText(c.prompt, c.outputTokens) {
		t.Errorf("%s: got %.100q", c.prompt, got)
	}
}

// TestPlannedStopCompletesStreams sends SIGTERM to a host while it relays a stream of 10
// seconds. The stream must be complete, and the process must exit with status 0.
func TestPlannedStopCompletesStreams(t *testing.T) {
	t.Parallel()
	o := defaultOptions()
	o.engineOptions.StepTime = 100 * time.Millisecond
	f := newFleet(t, o)
	c := draftCall(1, 100)
	c.stream = true
	done := make(chan callResult, 1)
	go func() { done <- f.send(f.hosts[0], c) }()
	f.awaitRun(c.prompt)
	f.hosts[0].signal(syscall.SIGTERM)
	r := <-done
	if events := strings.Count(r.body, "chat.completion.chunk"); r.err != nil || events != c.outputTokens || !strings.HasSuffix(r.body, "data: [DONE]\n\n") {
		t.Errorf("incomplete stream: %d events, %v", events, r.err)
	}
	if err := f.hosts[0].wait(); err != nil {
		t.Errorf("exit: %v\n%s", err, f.hosts[0].logOutput)
	}
}

// TestRollingRestart stops and restarts each host in turn while the others serve
// requests, as in a rolling upgrade. The other hosts must not refuse or interrupt any
// request.
func TestRollingRestart(t *testing.T) {
	t.Parallel()
	f := newFleet(t, defaultOptions())
	for round, h := range f.hosts {
		var wg sync.WaitGroup
		for i := range 30 {
			c := draftCall(round*100+i, 60)
			target := f.hosts[(round+1+i%2)%len(f.hosts)]
			wg.Go(func() { checkComplete(t, f.send(target, c), c) })
		}
		h.signal(syscall.SIGTERM)
		if err := h.wait(); err != nil {
			t.Errorf("%s: exit: %v\n%s", h.id, err, h.logOutput)
		}
		wg.Wait()
		f.start(h)
		f.awaitReady()
	}
}

// TestHostKilledUnderLoad kills each host in turn while requests wait and run at the
// others. Those must get complete responses, since another host takes over as the
// pool's scheduler.
func TestHostKilledUnderLoad(t *testing.T) {
	t.Parallel()
	o := defaultOptions()
	o.engineOptions.MaxBatchSize = 8
	f := newFleet(t, o)
	for round, h := range f.hosts {
		var wg sync.WaitGroup
		for i := range 30 {
			c := draftCall(round*100+i, 30)
			target := f.hosts[(round+1+i%2)%len(f.hosts)]
			wg.Go(func() { checkComplete(t, f.send(target, c), c) })
		}
		time.Sleep(100 * time.Millisecond)
		f.kill(h)
		wg.Wait()
		f.start(h)
		f.awaitReady()
	}
}

// TestHostPausedUnderLoad pauses the process of each host in turn until requests to the
// others have got complete responses, and then resumes it.
func TestHostPausedUnderLoad(t *testing.T) {
	t.Parallel()
	f := newFleet(t, defaultOptions())
	for round, h := range f.hosts {
		h.signal(syscall.SIGSTOP)
		var wg sync.WaitGroup
		for i := range 10 {
			c := draftCall(round*100+i, 30)
			target := f.hosts[(round+1+i%2)%len(f.hosts)]
			wg.Go(func() { checkComplete(t, f.send(target, c), c) })
		}
		wg.Wait()
		h.signal(syscall.SIGCONT)
		f.awaitReady()
	}
}

// TestEngineLinkFaults closes or stalls the connections to the engines in the middle of
// response streams. The hosts must resume the responses and deliver them completely. Each
// request must run only once, since the engine keeps the run for the host to resume.
func TestEngineLinkFaults(t *testing.T) {
	t.Parallel()
	f := newFleet(t, defaultOptions())
	faults := map[string]func(*Proxy){
		"reset":  (*Proxy).CloseConnections,
		"silent": func(p *Proxy) { p.SetMode(StallExisting) },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			var wg sync.WaitGroup
			for i := range 8 {
				c := draftCall(i, 60)
				c.prompt += name
				wg.Go(func() {
					checkComplete(t, f.send(f.hosts[i%len(f.hosts)], c), c)
					if n := f.runCount(c.prompt); n != 1 {
						t.Errorf("%s ran %d times", c.prompt, n)
					}
				})
			}
			f.awaitRun("draft 0" + name)
			time.Sleep(200 * time.Millisecond)
			for _, u := range f.upstreams {
				fault(f.proxies[proxyKey{0, string(u.ID)}])
			}
			wg.Wait()
		})
	}
}

// TestEngineFaults has one engine refuse requests, go down, hang or crash. Another engine
// must serve an idempotent request as long as the caller has received no part of the
// response.
func TestEngineFaults(t *testing.T) {
	for name, inject := range map[string]func(*standin.Engine){
		"refuses": func(e *standin.Engine) { e.SetFaults(standin.EngineFaults{Refuse: true}) },
		"down":    func(e *standin.Engine) { e.SetFaults(standin.EngineFaults{Down: true}) },
		"hangs":   func(e *standin.Engine) { e.SetFaults(standin.EngineFaults{Hang: true}) },
		"crashes": func(e *standin.Engine) { e.Crash() },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, defaultOptions())
			var wg sync.WaitGroup
			for i := range 12 {
				c := draftCall(i, 20)
				wg.Go(func() { checkComplete(t, f.send(f.hosts[i%len(f.hosts)], c), c) })
			}
			inject(f.engines[0])
			wg.Wait()
			for i := range 12 {
				c := draftCall(100+i, 20)
				checkComplete(t, f.send(f.hosts[i%len(f.hosts)], c), c)
			}
		})
	}
}

// TestPoisonRequest repeatedly sends a request that crashes every engine that runs it, in
// parallel to all hosts. At most two engines may crash, other requests must still be
// served, and the request must end up quarantined on every host.
func TestPoisonRequest(t *testing.T) {
	o := defaultOptions()
	o.enginesPerDomain = 5
	f := newFleet(t, o)
	for _, e := range f.engines {
		e.SetFaults(standin.EngineFaults{PoisonText: "deadly", RestartTime: plan.Duration(300 * time.Millisecond)})
	}
	poison := call{class: "draft", prompt: "a deadly draft", outputTokens: 20}
	var wg sync.WaitGroup
	for i := range 9 {
		wg.Go(func() {
			for range 3 {
				f.send(f.hosts[i%len(f.hosts)], poison)
			}
		})
		c := draftCall(i, 20)
		wg.Go(func() { checkComplete(t, f.send(f.hosts[i%len(f.hosts)], c), c) })
	}
	wg.Wait()
	crashes := 0
	for _, e := range f.engines {
		crashes += e.Crashes()
	}
	if crashes > 2 {
		t.Errorf("one request crashed engines %d times, want at most 2", crashes)
	}
	for _, h := range f.hosts {
		if r := f.send(h, poison); r.Code != "quarantined" {
			t.Errorf("%s: %+v", h.id, r)
		}
	}
}
