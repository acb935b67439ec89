package fault

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"

	"mulberrydyke/plan"
	"mulberrydyke/standin"
	"mulberrydyke/ticket"
)

// cell is one fault at one step of a commission and of a draft.
type cell struct {
	*fleet
	t          *testing.T
	commission call
	draft      call
	mu         sync.Mutex
	answers    []answer
}

// step brings the requests to a point. It sends them and returns once they are
// there; a step that holds them back returns how to let them go on.
type step struct {
	name string
	// before is called before the requests are sent.
	before func(*cell)
	// reached waits until the requests are at the step.
	reached func(*cell)
	// release lets them go on.
	release func(*cell)
}

// injection brings a fault about and returns how to end it, or nil.
type injection struct {
	name string
	do   func(*cell) (heal func())
}

const (
	holdTime = 150 * time.Millisecond
	// settleTime is how long late effects may take to show after a fault.
	settleTime = 500 * time.Millisecond
)

func steps() []step {
	nothing := func(*cell) {}
	hold := func(*cell) { time.Sleep(holdTime) }
	return []step{
		{"queued", (*cell).fillEngines, hold, nothing},
		{"intent", func(c *cell) { c.peerLinks(Stall) }, hold, func(c *cell) { c.peerLinks(Pass) }},
		{"dispatched", func(c *cell) { c.engineFaults(standin.EngineFaults{Silent: true}) }, func(c *cell) { c.awaitRun(c.draft.prompt) },
			func(c *cell) { c.engineFaults(standin.EngineFaults{}) }},
		{"mid-stream", nothing, func(c *cell) {
			c.awaitRun(c.commission.prompt)
			time.Sleep(holdTime)
		}, nothing},
	}
}

func injections() []injection {
	return []injection{
		{"engines crash", func(c *cell) func() { return c.eachEngine((*standin.Engine).Crash) }},
		{"engines refuse", func(c *cell) func() {
			c.engineFaults(standin.EngineFaults{Refuse: true})
			return func() { c.engineFaults(standin.EngineFaults{}) }
		}},
		{"engines slow", func(c *cell) func() {
			c.engineFaults(standin.EngineFaults{Slow: 3})
			return func() { c.engineFaults(standin.EngineFaults{}) }
		}},
		{"engine links reset", func(c *cell) func() { return c.engineLinks((*Proxy).CloseConnections) }},
		{"engine links silent", func(c *cell) func() { return c.engineLinks(func(p *Proxy) { p.SetMode(StallExisting) }) }},
		{"home killed", func(c *cell) func() { c.kill(c.hosts[0]); return nil }},
		{"home paused", func(c *cell) func() {
			c.hosts[0].signal(syscall.SIGSTOP)
			return func() { c.hosts[0].signal(syscall.SIGCONT) }
		}},
		{"home stops as planned", func(c *cell) func() { c.hosts[0].signal(syscall.SIGTERM); return nil }},
		{"home restarts", func(c *cell) func() {
			c.kill(c.hosts[0])
			c.start(c.hosts[0])
			return nil
		}},
		{"backup killed", func(c *cell) func() { c.kill(c.backup()); return nil }},
		{"backup stops as planned", func(c *cell) func() { c.backup().signal(syscall.SIGTERM); return nil }},
		{"way to home cut", func(c *cell) func() { return c.homeLink(Disconnect) }},
		{"way to home silent", func(c *cell) func() { return c.homeLink(Stall) }},
		{"platform down", func(c *cell) func() {
			c.platforms[0].SetFaults(standin.PlatformFaults{Down: true})
			return func() { c.platforms[0].SetFaults(standin.PlatformFaults{}) }
		}},
		{"bad list", func(c *cell) func() { c.platforms[0].Publish(plan.KindPlans, []byte("{")); return nil }},
		{"engines leave", func(c *cell) func() {
			for i := range c.upstreams {
				c.upstreams[i].State = plan.Leaving
			}
			c.publishUpstreams()
			return nil
		}},
		{"plan withdrawn", func(c *cell) func() {
			list := *c.entitled
			list.Version = 2
			list.Entitlements = nil
			c.platforms[0].PublishList(plan.KindEntitlements, list)
			return nil
		}},
		{"burst", func(c *cell) func() {
			for i := range 40 {
				go c.send(c.hosts[1+i%2], draft(1000+i, 5))
			}
			return nil
		}},
	}
}

func (c *cell) backup() *process {
	name, err := ticket.Parse(ticket.Token(c.commission.ticket))
	if err != nil {
		c.t.Fatal(err)
	}
	for _, h := range c.hosts {
		if h.id == name.Backup.Host {
			return h
		}
	}
	c.t.Fatalf("no backup in %+v", name)
	return nil
}

func (c *cell) eachEngine(f func(*standin.Engine)) func() {
	for _, e := range c.engines {
		f(e)
	}
	return nil
}

func (c *cell) engineFaults(f standin.EngineFaults) {
	c.eachEngine(func(e *standin.Engine) { e.SetFaults(f) })
}

func (c *cell) engineLinks(f func(*Proxy)) func() {
	for _, u := range c.upstreams {
		f(c.links[link{0, string(u.ID)}])
	}
	return nil
}

func (c *cell) homeLink(m Mode) func() {
	p := c.links[link{0, string(c.hosts[0].id)}]
	p.SetMode(m)
	return func() { p.SetMode(Pass) }
}

// peerLinks sets the mode of the ways to all hosts but the home.
func (c *cell) peerLinks(m Mode) {
	for _, h := range c.hosts[1:] {
		c.links[link{0, string(h.id)}].SetMode(m)
	}
}

// fillEngines sends requests that take all places for a while.
func (c *cell) fillEngines() {
	const requests = 8
	for i := range requests {
		go c.send(c.hosts[i%3], draft(2000+i, 60))
	}
	c.eventually(10*time.Second, "the engines are busy", func() bool { return c.running() >= len(c.engines) })
}

// try sends a request to a host and keeps what the caller gets of commissions.
func (c *cell) try(h *process, request call) {
	a := c.send(h, request)
	if a.status == 200 && a.err == nil {
		checkWhole(c.t, a, request)
	}
	if request.ticket == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers = append(c.answers, a)
}

// resend sends the commission to every host in parallel.
func (c *cell) resend() {
	var wait sync.WaitGroup
	for _, h := range c.hosts {
		wait.Go(func() { c.try(h, c.commission) })
	}
	wait.Wait()
}

// check holds what callers were told against the ledgers.
func (c *cell) check() {
	runs := c.runs(c.commission.prompt)
	if runs > 1 {
		c.t.Errorf("the commission ran %d times", runs)
	}
	for _, a := range c.answers {
		if a.Outcome == "not-run" && runs > 0 {
			c.t.Errorf("a caller was told not-run (%s), and it ran", a.Code)
		}
		if (a.Outcome == "ran" || a.status == 200 && a.err == nil) && runs != 1 {
			c.t.Errorf("a caller got an answer (%d %s), and it ran %d times", a.status, a.Code, runs)
		}
	}
}

// runCell brings the requests to a step and the faults about one after the other.
func runCell(t *testing.T, s step, faults ...injection) {
	o := defaultOptions()
	o.engine.Batch, o.engine.Step, o.silence = 2, 25*time.Millisecond, time.Second
	c := &cell{fleet: newFleet(t, o), t: t}
	c.commission, c.draft = commission(1), draft(1, 40)
	c.commission.output = 40
	c.commission.ticket = c.ticket(c.hosts[0], c.commission)
	s.before(c)
	var wait sync.WaitGroup
	wait.Go(func() { c.try(c.hosts[1], c.commission) })
	wait.Go(func() { c.try(c.hosts[2], c.draft) })
	s.reached(c)
	var heals []func()
	for _, f := range faults {
		if heal := f.do(c); heal != nil {
			heals = append(heals, heal)
		}
		time.Sleep(holdTime)
	}
	s.release(c)
	c.resend()
	for _, heal := range heals {
		heal()
	}
	wait.Wait()
	time.Sleep(settleTime)
	c.resend()
	c.check()
}

// TestMatrix brings every fault about at every step of a commission, resends it
// to all hosts during and after the fault, and holds what the callers were told
// against the engines' ledgers.
func TestMatrix(t *testing.T) {
	for _, s := range steps() {
		for _, f := range injections() {
			t.Run(fmt.Sprintf("%s at %s", f.name, s.name), func(t *testing.T) {
				t.Parallel()
				runCell(t, s, f)
			})
		}
	}
}

// TestPairsOfFaults brings two faults about at a step, drawn by a fixed seed.
func TestPairsOfFaults(t *testing.T) {
	const pairs, seed = 24, 20261204
	random := rand.New(rand.NewPCG(seed, seed))
	for i := range pairs {
		s, all := steps()[random.IntN(len(steps()))], injections()
		first := random.IntN(len(all))
		second := (first + 1 + random.IntN(len(all)-1)) % len(all)
		t.Run(fmt.Sprintf("%d %s, then %s at %s", i, all[first].name, all[second].name, s.name), func(t *testing.T) {
			t.Parallel()
			runCell(t, s, all[first], all[second])
		})
	}
}
