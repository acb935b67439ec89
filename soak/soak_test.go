// Package soak runs hosts as processes, injects faults from outside them in an
// order that a seed gives, and holds what callers and upstreams saw against what
// the product promises.
package soak

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"
)

var (
	seedCount = flag.Int("seeds", 2, "number of seeds to run")
	firstSeed = flag.Uint64("first-seed", 1, "the first seed; the others follow it")
	faultSpan = flag.Duration("fault-span", 6*time.Second, "how long faults begin")
	logsIn    = flag.String("logs", "", "directory for the hosts' logs of failed seeds")
	large     = flag.Bool("large", false, "many hosts and callers")
)

// failedOnce holds the seeds that ever failed. They run each time.
var failedOnce = map[uint64]string{
	1030: "a host was paused while the system loaded it, and got SIGHUP then: no program can take that; the soak waits for its first line",
}

// Each run uses 127.x of its own.
const (
	firstOctet = 20
	lastOctet  = 250
)

// reserve returns an octet that no other run on this machine uses, of this process or
// another, until the test ends.
func reserve(t *testing.T) int {
	t.Helper()
	for octet := firstOctet; octet <= lastOctet; octet++ {
		l, err := net.Listen("tcp4", fmt.Sprintf("127.%d.255.254:%d", octet, peerPort))
		if err == nil {
			t.Cleanup(func() { _ = l.Close() })
			return octet
		}
	}
	t.Fatal("no addresses are free")
	return 0
}

func TestSoak(t *testing.T) {
	seeds := map[uint64]bool{}
	for i := range *seedCount {
		seeds[*firstSeed+uint64(i)] = true
	}
	for seed := range failedOnce {
		seeds[seed] = true
	}
	for seed := range seeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			soak(t, seed, reserve(t))
		})
	}
}

// shapeOf returns the size of a seed's run.
func shapeOf(random *rand.Rand) shape {
	if *large {
		return shape{domains: 3, hostsEach: 12, pools: 12, apps: 4, callers: 60}
	}
	return shape{domains: 2 + random.IntN(2), hostsEach: 1 + random.IntN(2), pools: 3 + random.IntN(3), apps: 2 + random.IntN(2), callers: 10 + random.IntN(14)}
}

const (
	startSpan = 15 * time.Second
	// recoverSpan is how long after the last fault all must be served again.
	recoverSpan = 12 * time.Second
)

// soak runs one seed.
func soak(t *testing.T, seed uint64, octet int) {
	random := rand.New(rand.NewPCG(seed, 0))
	s := shapeOf(random)
	w := newWorld(t, s, octet)
	started := time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	var duties, calls sync.WaitGroup
	duties.Go(func() { w.poll(ctx) })
	duties.Go(func() { w.watchMachine(ctx) })
	defer duties.Wait()
	defer cancel()
	if !w.awaitReady(startSpan) {
		keepLogs(t, w, seed)
		t.Fatal("not all hosts became ready")
	}
	ready := time.Since(started)
	callsCtx, endCalls := context.WithCancel(ctx)
	defer endCalls()
	for range s.callers {
		own := rand.New(rand.NewPCG(random.Uint64(), 3))
		calls.Go(func() { w.callers.loop(callsCtx, own) })
	}
	in := &injector{t: t, w: w, signals: make([]sync.Mutex, len(w.hosts))}
	in.run(ctx, random, *faultSpan, 8+random.IntN(10))
	w.note("faults are over")
	broken := w.awaitService(recoverSpan)
	endCalls()
	calls.Wait()
	// What callers broke off is still on its way to the upstreams.
	time.Sleep(300 * time.Millisecond)
	cancel()
	duties.Wait()
	w.ledger.mu.Lock()
	defer w.ledger.mu.Unlock()
	broken = append(broken, w.judge()...)
	if len(broken) > 0 {
		t.Errorf("seed %d:\n%s\nstory:\n%s", seed, strings.Join(broken, "\n"), strings.Join(w.notes, "\n"))
		keepLogs(t, w, seed)
	}
	t.Logf("%d hosts, all ready %v after the last start, %d requests, %d runs, %d answered whole", len(w.hosts), ready, len(w.callers.records), len(w.ledger.runs), w.answered())
}

// answered returns how many requests got their whole answer.
func (w *world) answered() int {
	n := 0
	for _, r := range w.callers.records {
		if r.status == 200 && r.whole {
			n++
		}
	}
	return n
}

// awaitService sends each kind of request to each host until all are served. It
// returns what is not served by the end of a span.
func (w *world) awaitService(span time.Duration) []string {
	var wait sync.WaitGroup
	var mu sync.Mutex
	var broken []string
	end := time.Now().Add(span)
	for i := range w.hosts {
		for _, k := range kinds {
			wait.Go(func() {
				if last := w.awaitKind(i, k, end); last != "" {
					mu.Lock()
					defer mu.Unlock()
					broken = append(broken, fmt.Sprintf("%s is not served at host %d %v after the last fault: %s", k, i, span, last))
				}
			})
		}
	}
	wait.Wait()
	return broken
}

func (w *world) awaitKind(i int, k kind, end time.Time) string {
	last := "not tried"
	for time.Now().Before(end) {
		_, start := w.hosts[i].state()
		l := w.callers.connect(i, start)
		if l == nil {
			last = "no connection"
			time.Sleep(100 * time.Millisecond)
			continue
		}
		r := w.callers.newRecord(k, w.newestKey(), 5)
		w.callers.send(l, r, 0)
		_ = l.conn.Close()
		if r.status == 200 && r.whole {
			return ""
		}
		last = fmt.Sprintf("status %d %s", r.status, r.err)
		time.Sleep(100 * time.Millisecond)
	}
	return last
}

// newestKey returns the key that was added last.
func (w *world) newestKey() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return fmt.Sprintf("key-%d", len(w.keys))
}

// keepLogs copies the hosts' logs of a failed seed to where the flag says.
func keepLogs(t *testing.T, w *world, seed uint64) {
	if *logsIn == "" {
		return
	}
	dir := filepath.Join(*logsIn, fmt.Sprintf("seed-%d", seed))
	if err := os.CopyFS(dir, os.DirFS(w.hosts[0].dir)); err != nil {
		t.Errorf("logs not kept: %v", err)
	}
}
