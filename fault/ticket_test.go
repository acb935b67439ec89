package fault

import (
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func commission(i int) call {
	return call{class: "commission", prompt: fmt.Sprintf("commission %d", i), output: 20}
}

// awaitRun waits until a prompt runs somewhere.
func (f *fleet) awaitRun(prompt string) {
	f.t.Helper()
	f.eventually(5*time.Second, "a run of "+prompt, func() bool { return f.runs(prompt) > 0 })
}

// TestParallelResendsRunOnce sends one commission to every host at once,
// several times. It must run once, and every caller must get the same whole
// answer.
func TestParallelResendsRunOnce(t *testing.T) {
	f := newFleet(t, defaultOptions())
	c := commission(1)
	c.ticket = f.ticket(f.hosts[0], c)
	var mu sync.Mutex
	var got []string
	var wait sync.WaitGroup
	for i := range 12 {
		wait.Go(func() {
			a := f.send(f.hosts[i%len(f.hosts)], c)
			mu.Lock()
			defer mu.Unlock()
			got = append(got, content(t, a))
		})
	}
	wait.Wait()
	want := make([]string, 12)
	for i := range want {
		want[i] = text(c.prompt, c.output)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("answers (-want +got):\n%s", diff)
	}
	if n := f.runs(c.prompt); n != 1 {
		t.Errorf("the commission ran %d times", n)
	}
	other := c
	other.prompt = "another commission"
	if a := f.send(f.hosts[1], other); a.Code != "ticket-mismatch" || f.runs(other.prompt) != 0 {
		t.Errorf("another body under the same ticket: %+v", a)
	}
}

// TestHomeKilled kills a ticket's home before it is used, and during the run.
// The first must be called not run, the second unknown, and neither may run
// again.
func TestHomeKilled(t *testing.T) {
	t.Parallel()
	o := defaultOptions()
	o.engine.StepTime = 100 * time.Millisecond
	f := newFleet(t, o)
	unused, running := commission(1), commission(2)
	unused.ticket = f.ticket(f.hosts[0], unused)
	running.ticket = f.ticket(f.hosts[0], running)
	done := make(chan answer, 1)
	go func() { done <- f.send(f.hosts[1], running) }()
	f.awaitRun(running.prompt)
	f.kill(f.hosts[0])
	if a := <-done; a.Outcome != "unknown" {
		t.Errorf("caller of the running commission: %+v", a)
	}
	for i, h := range f.hosts[1:] {
		if a := f.send(h, unused); a.Outcome != "not-run" || f.runs(unused.prompt) != 0 {
			t.Errorf("unused ticket at host %d: %+v, %d runs", i, a, f.runs(unused.prompt))
		}
		if a := f.send(h, running); a.Outcome != "unknown" || f.runs(running.prompt) != 1 {
			t.Errorf("running ticket at host %d: %+v, %d runs", i, a, f.runs(running.prompt))
		}
	}
	f.start(f.hosts[0])
	f.awaitReady()
	if a := f.send(f.hosts[0], unused); a.Outcome == "ran" || f.runs(unused.prompt) != 0 {
		t.Errorf("the restarted home: %+v, %d runs", a, f.runs(unused.prompt))
	}
}

// TestHomePaused pauses a ticket's home with the request on its way, lets the
// backup settle the ticket, and wakes the home. What was called not run must
// not run afterwards.
func TestHomePaused(t *testing.T) {
	t.Parallel()
	f := newFleet(t, defaultOptions())
	var calls []call
	for i := range 8 {
		c := commission(i)
		c.ticket = f.ticket(f.hosts[0], c)
		calls = append(calls, c)
	}
	var wait sync.WaitGroup
	for _, c := range calls {
		wait.Go(func() { f.send(f.hosts[0], c) })
	}
	f.hosts[0].signal(syscall.SIGSTOP)
	outcomes := make([]string, len(calls))
	var settle sync.WaitGroup
	for i, c := range calls {
		settle.Go(func() { outcomes[i] = f.send(f.hosts[1], c).Outcome })
	}
	settle.Wait()
	f.hosts[0].signal(syscall.SIGCONT)
	wait.Wait()
	time.Sleep(time.Second)
	for i, c := range calls {
		runs := f.runs(c.prompt)
		if runs > 1 || runs > 0 && outcomes[i] == "not-run" {
			t.Errorf("commission %d: %d runs, and a caller was told %q", i, runs, outcomes[i])
		}
	}
}

// TestPlannedStopKeepsAnswers stops a ticket's home in a planned way. A resend
// at another host must get the same whole answer from the successor.
func TestPlannedStopKeepsAnswers(t *testing.T) {
	t.Parallel()
	f := newFleet(t, defaultOptions())
	c, unused := commission(1), commission(2)
	c.ticket = f.ticket(f.hosts[0], c)
	unused.ticket = f.ticket(f.hosts[0], unused)
	want := content(t, f.send(f.hosts[2], c))
	f.hosts[0].signal(syscall.SIGTERM)
	if err := f.hosts[0].wait(); err != nil {
		t.Fatalf("exit: %v\n%s", err, f.hosts[0].log)
	}
	for _, h := range f.hosts[1:] {
		if diff := cmp.Diff(want, content(t, f.send(h, c))); diff != "" {
			t.Errorf("answer at %s (-want +got):\n%s", h.id, diff)
		}
		if a := f.send(h, unused); a.Outcome != "not-run" {
			t.Errorf("unused ticket at %s: %+v", h.id, a)
		}
	}
	if n := f.runs(c.prompt); n != 1 {
		t.Errorf("the commission ran %d times", n)
	}
}

// TestLabelPrintCutAfterRun breaks the connection after a print ran. The caller
// must be told that the outcome is unknown, and resends must not print again.
func TestLabelPrintCutAfterRun(t *testing.T) {
	t.Parallel()
	f := newFleet(t, defaultOptions())
	c := call{service: "/labels", class: "draft", prompt: "label of box 7"}
	c.ticket = f.ticket(f.hosts[0], c)
	f.cutService(true)
	first := f.send(f.hosts[1], c)
	f.cutService(false)
	second := f.send(f.hosts[2], c)
	if first.Outcome != "unknown" || second.Outcome != "unknown" || f.runs(c.prompt) != 1 {
		t.Errorf("first %+v, second %+v, %d runs", first, second, f.runs(c.prompt))
	}
}

// TestPlannedStopOfARemoteHome stops a ticket's home while callers read the
// answer through other hosts. They must get the whole answer.
func TestPlannedStopOfARemoteHome(t *testing.T) {
	t.Parallel()
	o := defaultOptions()
	o.engine.StepTime = 50 * time.Millisecond
	f := newFleet(t, o)
	var wait sync.WaitGroup
	for i := range 6 {
		c := commission(i)
		c.output = 20 + 10*i
		c.ticket = f.ticket(f.hosts[0], c)
		wait.Go(func() { checkWhole(t, f.send(f.hosts[1+i%2], c), c) })
	}
	f.awaitRun("commission 5")
	f.hosts[0].signal(syscall.SIGTERM)
	wait.Wait()
	if err := f.hosts[0].wait(); err != nil {
		t.Errorf("exit: %v\n%s", err, f.hosts[0].log)
	}
}

// TestAnswersPassThroughSuccessors stops a ticket's home and then its
// successor. The last host must still hold the answer.
func TestAnswersPassThroughSuccessors(t *testing.T) {
	t.Parallel()
	f := newFleet(t, defaultOptions())
	c := commission(1)
	c.ticket = f.ticket(f.hosts[0], c)
	want := content(t, f.send(f.hosts[0], c))
	for _, h := range f.hosts[:2] {
		h.signal(syscall.SIGTERM)
		if err := h.wait(); err != nil {
			t.Fatalf("exit: %v\n%s", err, h.log)
		}
	}
	if diff := cmp.Diff(want, content(t, f.send(f.hosts[2], c))); diff != "" {
		t.Errorf("answer at the last host (-want +got):\n%s", diff)
	}
	if n := f.runs(c.prompt); n != 1 {
		t.Errorf("the commission ran %d times", n)
	}
}
