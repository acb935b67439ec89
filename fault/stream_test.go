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

func (f *fleet) cutService(cut bool) { f.service.SetFaults(standin.ServiceFaults{CutAfterRun: cut}) }

func draft(i, output int) call {
	return call{class: "draft", prompt: fmt.Sprintf("draft %d", i), output: output}
}

// checkWhole fails where an answer is not whole or not the caller's own.
func checkWhole(t *testing.T, a answer, c call) {
	t.Helper()
	if a.status != 200 || a.err != nil {
		t.Errorf("%s: status %d, %v: %.300s", c.prompt, a.status, a.err, a.body)
		return
	}
	if got := content(t, a); got != text(c.prompt, c.output) {
		t.Errorf("%s: got %.100q", c.prompt, got)
	}
}

// TestPlannedStopCutsNothing stops a host while a stream of 10 seconds runs
// through it. The stream must be whole, and the process must exit with 0.
func TestPlannedStopCutsNothing(t *testing.T) {
	t.Parallel()
	o := defaultOptions()
	o.engine.Step = 100 * time.Millisecond
	f := newFleet(t, o)
	c := draft(1, 100)
	c.stream = true
	done := make(chan answer, 1)
	go func() { done <- f.send(f.hosts[0], c) }()
	f.awaitRun(c.prompt)
	f.hosts[0].signal(syscall.SIGTERM)
	a := <-done
	if n := strings.Count(a.body, "chat.completion.chunk"); a.err != nil || n != c.output || !strings.HasSuffix(a.body, "data: [DONE]\n\n") {
		t.Errorf("the stream was cut: %d events, %v", n, a.err)
	}
	if err := f.hosts[0].wait(); err != nil {
		t.Errorf("exit: %v\n%s", err, f.hosts[0].log)
	}
}

// TestEveryHostStopsInTurn replaces each host while requests go to the others,
// as at a rolling upgrade. Nothing may be cut or refused but by the host that
// stops.
func TestEveryHostStopsInTurn(t *testing.T) {
	t.Parallel()
	f := newFleet(t, defaultOptions())
	for round, h := range f.hosts {
		var wait sync.WaitGroup
		for i := range 30 {
			c := draft(round*100+i, 60)
			target := f.hosts[(round+1+i%2)%len(f.hosts)]
			wait.Go(func() { checkWhole(t, f.send(target, c), c) })
		}
		h.signal(syscall.SIGTERM)
		if err := h.wait(); err != nil {
			t.Errorf("%s: exit: %v\n%s", h.id, err, h.log)
		}
		wait.Wait()
		f.start(h)
		f.awaitReady()
	}
}

// TestHostKilledUnderLoad kills each host in turn while requests wait and run
// at the others. Those must be answered whole: another host takes the role of
// the pool's scheduler.
func TestHostKilledUnderLoad(t *testing.T) {
	t.Parallel()
	o := defaultOptions()
	o.engine.Batch = 8
	f := newFleet(t, o)
	for round, h := range f.hosts {
		var wait sync.WaitGroup
		for i := range 30 {
			c := draft(round*100+i, 30)
			target := f.hosts[(round+1+i%2)%len(f.hosts)]
			wait.Go(func() { checkWhole(t, f.send(target, c), c) })
		}
		time.Sleep(100 * time.Millisecond)
		f.kill(h)
		wait.Wait()
		f.start(h)
		f.awaitReady()
	}
}

// TestHostPausedUnderLoad stops a host's process for a while and wakes it up
// late, with requests at the others.
func TestHostPausedUnderLoad(t *testing.T) {
	t.Parallel()
	f := newFleet(t, defaultOptions())
	for round, h := range f.hosts {
		h.signal(syscall.SIGSTOP)
		var wait sync.WaitGroup
		for i := range 10 {
			c := draft(round*100+i, 30)
			target := f.hosts[(round+1+i%2)%len(f.hosts)]
			wait.Go(func() { checkWhole(t, f.send(target, c), c) })
		}
		wait.Wait()
		h.signal(syscall.SIGCONT)
		f.awaitReady()
	}
}

// TestLinkToEngineBreaks resets, then silences the connections to the engines
// in the middle of streams. The streams must be taken up again and be whole,
// and each request must run once, since the engine kept its run.
func TestLinkToEngineBreaks(t *testing.T) {
	t.Parallel()
	f := newFleet(t, defaultOptions())
	faults := map[string]func(*Proxy){
		"reset":  (*Proxy).CloseConnections,
		"silent": func(p *Proxy) { p.SetMode(StallExisting) },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			var wait sync.WaitGroup
			for i := range 8 {
				c := draft(i, 60)
				c.prompt += name
				wait.Go(func() {
					checkWhole(t, f.send(f.hosts[i%len(f.hosts)], c), c)
					if n := f.runs(c.prompt); n != 1 {
						t.Errorf("%s ran %d times", c.prompt, n)
					}
				})
			}
			f.awaitRun("draft 0" + name)
			time.Sleep(200 * time.Millisecond)
			for _, u := range f.upstreams {
				fault(f.links[link{0, string(u.ID)}])
			}
			wait.Wait()
		})
	}
}

// TestEngineFaults shows engines that refuse, crash, and hang. Idempotent
// requests must be answered by another engine as long as nothing of them has
// reached the caller.
func TestEngineFaults(t *testing.T) {
	for name, set := range map[string]func(*standin.Engine){
		"refuses": func(e *standin.Engine) { e.SetFaults(standin.EngineFaults{Refuse: true}) },
		"down":    func(e *standin.Engine) { e.SetFaults(standin.EngineFaults{Down: true}) },
		"hangs":   func(e *standin.Engine) { e.SetFaults(standin.EngineFaults{Silent: true}) },
		"crashes": func(e *standin.Engine) { e.Crash() },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, defaultOptions())
			var wait sync.WaitGroup
			for i := range 12 {
				c := draft(i, 20)
				wait.Go(func() { checkWhole(t, f.send(f.hosts[i%len(f.hosts)], c), c) })
			}
			set(f.engines[0])
			wait.Wait()
			for i := range 12 {
				c := draft(100+i, 20)
				checkWhole(t, f.send(f.hosts[i%len(f.hosts)], c), c)
			}
		})
	}
}

// TestPoison sends a request that crashes every engine that runs it, again and
// again, to all hosts and in parallel. At most two engines may crash, and
// other requests must go on being answered.
func TestPoison(t *testing.T) {
	o := defaultOptions()
	o.engines = 5
	f := newFleet(t, o)
	for _, e := range f.engines {
		e.SetFaults(standin.EngineFaults{Poison: "deadly", Restart: plan.Duration(300 * time.Millisecond)})
	}
	deadly := call{class: "draft", prompt: "a deadly draft", output: 20}
	var wait sync.WaitGroup
	for i := range 9 {
		wait.Go(func() {
			for range 3 {
				f.send(f.hosts[i%len(f.hosts)], deadly)
			}
		})
		c := draft(i, 20)
		wait.Go(func() { checkWhole(t, f.send(f.hosts[i%len(f.hosts)], c), c) })
	}
	wait.Wait()
	crashes := 0
	for _, e := range f.engines {
		crashes += e.Crashes()
	}
	if crashes > 2 {
		t.Errorf("one request crashed engines %d times", crashes)
	}
	for _, h := range f.hosts {
		if a := f.send(h, deadly); a.Code != "quarantined" {
			t.Errorf("%s: %+v", h.id, a)
		}
	}
}
