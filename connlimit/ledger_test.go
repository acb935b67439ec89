package connlimit

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// addEntry adds a connection in a phase that takes some memory.
func addEntry(l *ledger, p phase, bytes int64) *entry {
	e := &entry{}
	l.add(e)
	l.setPhase(e, p)
	l.charge(e, bytes)
	return e
}

// TestLongestWithoutProgressIsEndedFirst guards against ending connections that have just made
// progress, idle ones before those that send, or ones whose request is complete.
func TestLongestWithoutProgressIsEndedFirst(t *testing.T) {
	l := &ledger{limits: Limits{Conns: 10, Bytes: 100}}
	entries := map[*entry]string{}
	for _, c := range []struct {
		name  string
		phase phase
	}{{"idle", phaseIdle}, {"running", phaseRunning}, {"waiting", phaseWaiting}, {"sending", phaseSending}, {"progressing", phaseSending}} {
		entries[addEntry(l, c.phase, 10)] = c.name
	}
	for e, name := range entries {
		if name == "waiting" {
			l.setPhase(e, phaseSending)
		}
	}
	var order []string
	for e := l.nextForDescriptors(); e != nil; e = l.nextForDescriptors() {
		order = append(order, entries[e])
		l.end(e)
		l.close(e)
	}
	if diff := cmp.Diff([]string{"sending", "progressing", "waiting", "idle"}, order); diff != "" {
		t.Errorf("order of ends (-want +got):\n%s", diff)
	}
	if l.open != 1 || l.bytes != 10 {
		t.Errorf("%d connections with %d bytes left, want that of the running request", l.open, l.bytes)
	}
}

// TestIdleConnectionsAreNotEndedForMemory guards against ends that free nothing.
func TestIdleConnectionsAreNotEndedForMemory(t *testing.T) {
	l := &ledger{limits: Limits{Conns: 10, Bytes: 100}}
	addEntry(l, phaseIdle, 0)
	addEntry(l, phaseRunning, 90)
	if e := l.nextForMemory(); e != nil {
		t.Errorf("a connection in phase %d is ended", e.phase)
	}
}

// TestGoroutinesOfClosedConnectionsCount guards against more goroutines than the limits allow,
// while net/http waits before it gives up connections that were ended.
func TestGoroutinesOfClosedConnectionsCount(t *testing.T) {
	l := &ledger{limits: Limits{Conns: 4, Bytes: 100}}
	for range 6 {
		if l.tooManyEnding() {
			t.Fatal("a connection was not accepted")
		}
		e := addEntry(l, phaseWaiting, 0)
		l.end(e)
		l.close(e)
	}
	if !l.tooManyEnding() {
		t.Error("a connection would be accepted beside six whose goroutines are ending")
	}
	l.remove(l.queues[phaseEnded].Front().Value.(*entry))
	if l.tooManyEnding() {
		t.Error("no connection would be accepted after a goroutine ended")
	}
}

// TestSmallMachineHoldsOrdinaryCallers guards against limits that ordinary operation reaches.
func TestSmallMachineHoldsOrdinaryCallers(t *testing.T) {
	limits := LimitsFor(112<<20, 4100)
	if limits.Conns < 500 {
		t.Errorf("%d connections", limits.Conns)
	}
	if want := int64(2 * 2 * 4 << 20); limits.Bytes < want {
		t.Errorf("%d bytes, want room for two of the longest bodies while they grow, %d", limits.Bytes, want)
	}
}
