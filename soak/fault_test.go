package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"

	"mulberrydyke/fault"
)

// injector brings faults about, each in a goroutine of its own, so that they
// come in series and overlap.
type injector struct {
	t    *testing.T
	w    *world
	wait sync.WaitGroup
	// signals guards each host's process: one fault at a time ends or starts it.
	signals []sync.Mutex
}

// troubleMaker is one kind of fault. It returns when the fault is over.
type troubleMaker func(in *injector, random *rand.Rand, span time.Duration)

// troubleMakers are drawn from by a seed. Their order is part of what a seed
// means: add new ones at the end.
var troubleMakers = []struct {
	name string
	make troubleMaker
}{
	{"kill", (*injector).kill},
	{"stop", (*injector).stop},
	{"pause", (*injector).pause},
	{"settings", (*injector).settings},
	{"cut store", (*injector).cutStore},
	{"store fault", (*injector).storeFault},
	{"link to upstream", (*injector).upstreamLink},
	{"upstream misbehaves", (*injector).misbehave},
	{"upstream leaves", (*injector).replace},
	{"upstream crashes", (*injector).crash},
	{"key revoked", (*injector).revoke},
	{"rolling stops", (*injector).roll},
}

// Bounds on how long one fault lasts.
const (
	lastsLeast = 200 * time.Millisecond
	lastsMost  = 2200 * time.Millisecond
)

// run draws faults for a span and returns when the last is over.
func (in *injector) run(ctx context.Context, random *rand.Rand, span time.Duration, count int) {
	type drawn struct {
		at, lasts time.Duration
		kind      int
		seed      uint64
	}
	var list []drawn
	for range count {
		list = append(list, drawn{
			at:    time.Duration(random.Int64N(int64(span))),
			lasts: lastsLeast + time.Duration(random.Int64N(int64(lastsMost-lastsLeast))),
			kind:  random.IntN(len(troubleMakers)), seed: random.Uint64(),
		})
	}
	for _, d := range list {
		in.wait.Go(func() {
			select {
			case <-time.After(d.at):
			case <-ctx.Done():
				return
			}
			troubleMakers[d.kind].make(in, rand.New(rand.NewPCG(d.seed, 1)), d.lasts)
		})
	}
	in.wait.Wait()
}

// pickHost draws a host.
func (in *injector) pickHost(random *rand.Rand) int { return random.IntN(len(in.w.hosts)) }

// restart starts a host's process anew after the present one has ended.
func (in *injector) restart(i int) {
	h := in.w.hosts[i]
	h.end(stopTime + time.Second)
	if err := h.start(); err != nil {
		in.t.Error(err)
	}
}

// hold draws a host for an unplanned fault, and keeps other faults of processes from
// it until the returned function is called.
func (in *injector) hold(random *rand.Rand) (i int, release func()) {
	i = in.pickHost(random)
	in.signals[i].Lock()
	end := in.w.begin(hostTrouble(i), false)
	return i, func() {
		end()
		in.signals[i].Unlock()
	}
}

func (in *injector) kill(random *rand.Rand, span time.Duration) {
	i, release := in.hold(random)
	defer release()
	in.w.note("host %d killed for %v", i, span)
	in.w.hosts[i].signal(syscall.SIGKILL)
	time.Sleep(span)
	in.restart(i)
}

// stop is a planned stop, now and then with signals in series.
func (in *injector) stop(random *rand.Rand, _ time.Duration) {
	i := in.pickHost(random)
	in.signals[i].Lock()
	defer in.signals[i].Unlock()
	in.stopOne(random, i)
}

func (in *injector) stopOne(random *rand.Rand, i int) {
	h := in.w.hosts[i]
	defer in.w.begin(hostTrouble(i), true)()
	in.w.note("host %d stopped", i)
	if random.IntN(3) == 0 {
		h.signal(syscall.SIGHUP)
	}
	h.signal(syscall.SIGTERM)
	if random.IntN(3) == 0 {
		time.Sleep(50 * time.Millisecond)
		h.signal(syscall.SIGTERM)
		h.signal(syscall.SIGHUP)
	}
	in.restart(i)
	in.w.note("host %d started", i)
}

// roll stops one host after the other.
func (in *injector) roll(random *rand.Rand, _ time.Duration) {
	for range 2 {
		in.stop(random, 0)
	}
}

func (in *injector) pause(random *rand.Rand, span time.Duration) {
	i, release := in.hold(random)
	defer release()
	in.w.note("host %d paused for %v", i, span)
	in.w.hosts[i].signal(syscall.SIGSTOP)
	time.Sleep(span)
	in.w.hosts[i].signal(syscall.SIGCONT)
}

// settings changes a host's settings, with a signal or without.
func (in *injector) settings(random *rand.Rand, _ time.Duration) {
	i := in.pickHost(random)
	in.w.note("host %d gets other settings", i)
	if err := in.w.hosts[i].writeSettings(retryExtra - random.IntN(10)); err != nil {
		in.t.Error(err)
	}
	if random.IntN(2) == 0 {
		in.w.hosts[i].signal(syscall.SIGHUP)
	}
}

// disturb makes a proxy misbehave for a span.
func disturb(p *fault.Proxy, random *rand.Rand, span time.Duration) {
	switch random.IntN(6) {
	case 0:
		p.CloseConnections()
		return
	case 1:
		p.SetDelay(time.Duration(random.IntN(150)) * time.Millisecond)
	default:
		p.SetMode([]fault.Mode{fault.Disconnect, fault.Stall, fault.StallExisting, fault.StallReplies}[random.IntN(4)])
	}
	time.Sleep(span)
	p.SetDelay(0)
	p.SetMode(fault.Pass)
}

func (in *injector) cutStore(random *rand.Rand, span time.Duration) {
	for range 1 + random.IntN(len(in.w.hosts)) {
		i := in.pickHost(random)
		seed := random.Uint64()
		in.wait.Go(func() {
			defer in.w.begin(hostTrouble(i), true)()
			in.w.note("host %d: way to the store disturbed for %v", i, span)
			disturb(in.w.hosts[i].store, rand.New(rand.NewPCG(seed, 2)), span)
		})
	}
}

func (in *injector) storeFault(random *rand.Rand, span time.Duration) {
	defer in.w.begin(storeTrouble, true)()
	which := random.IntN(3)
	in.w.note("store fault %d for %v", which, span)
	switch which {
	case 0:
		in.w.store.set(true, false)
	case 1:
		in.w.store.set(false, true)
	case 2:
		in.w.store.forget()
		return
	}
	time.Sleep(span)
	in.w.store.set(false, false)
}

// pickUpstream draws a listed upstream.
func (in *injector) pickUpstream(random *rand.Rand) *upstream {
	in.w.mu.Lock()
	defer in.w.mu.Unlock()
	return in.w.upstreams[random.IntN(len(in.w.upstreams))]
}

func (in *injector) upstreamLink(random *rand.Rand, span time.Duration) {
	u := in.pickUpstream(random)
	defer in.w.begin(u.id, false)()
	in.w.note("%s: link disturbed for %v", u.id, span)
	disturb(u.proxy, random, span)
}

func (in *injector) misbehave(random *rand.Rand, span time.Duration) {
	u := in.pickUpstream(random)
	defer in.w.begin(u.id, false)()
	mode := []upstreamMode{grey, mute, full, torn}[random.IntN(4)]
	in.w.note("%s: mode %d for %v", u.id, mode, span)
	u.set(mode)
	time.Sleep(span)
	u.set(sound)
}

// replace has an upstream leave after another of its service has come.
func (in *injector) replace(random *rand.Rand, span time.Duration) {
	u := in.pickUpstream(random)
	in.w.addUpstream(in.t, u.service, u.domain)
	in.w.drain(u)
	in.w.note("%s leaves", u.id)
	time.Sleep(span)
	in.w.store.put("servers/"+u.id, nil)
}

// crash ends an upstream's process, which comes back under the same name.
func (in *injector) crash(random *rand.Rand, span time.Duration) {
	u := in.pickUpstream(random)
	defer in.w.begin(u.id, false)()
	in.w.note("%s crashed for %v", u.id, span)
	u.proxy.SetMode(fault.Disconnect)
	time.Sleep(span)
	u.mu.Lock()
	u.born = time.Now()
	u.mu.Unlock()
	u.proxy.SetMode(fault.Pass)
	in.w.relist(u)
}

func (in *injector) revoke(*rand.Rand, time.Duration) {
	in.w.note("%s revoked", in.w.revoke())
}
