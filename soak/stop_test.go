package soak

import (
	"sync"
	"syscall"
	"testing"
	"time"
)

// TestLateRequestsOfAPlannedStopAreServedOrNotRun guards against requests that a stopping
// host takes late in its grace period, passes on, and cuts at the end. Callers use their
// connections and open new ones until the process is gone; upstreams take up to the
// deadline.
func TestLateRequestsOfAPlannedStopAreServedOrNotRun(t *testing.T) {
	f := startHost(t, fleetSize{poolUpstreams: 4, appUpstreams: 4})
	for _, u := range f.upstreams {
		u.setWorkTime(1800 * time.Millisecond)
	}
	h := f.hosts[0]
	var wg sync.WaitGroup
	stopped := make(chan struct{})
	const connsBefore, interval = 400, 30 * time.Millisecond
	var conns []*callerConn
	for range connsBefore {
		conns = append(conns, f.generator.connect(0, 1))
	}
	go func() {
		h.awaitExit(gracePeriod + 2*time.Second)
		close(stopped)
	}()
	h.signal(syscall.SIGTERM)
	begin := time.Now()
	kinds := []requestKind{nonIdempotentRequest, nonResumableStream, idempotentRequest, resumableStream}
	for i := 0; i < len(conns) && time.Since(begin) < gracePeriod; i++ {
		cc := conns[i]
		if i%2 == 1 {
			_ = cc.conn.Close()
			cc = f.generator.connect(0, 1)
		}
		if cc != nil {
			r := f.generator.newRecord(kinds[i/2%len(kinds)], f.newestKey(), 150)
			wg.Go(func() {
				f.generator.send(cc, r, 0)
				_ = cc.conn.Close()
			})
		}
		time.Sleep(interval)
	}
	wg.Wait()
	<-stopped
	time.Sleep(200 * time.Millisecond)
	f.checkLateRequests(t, begin)
}

// checkLateRequests checks that each request that ran has a whole answer, and each that
// has not run was refused or closed unread.
func (f *fleet) checkLateRequests(t *testing.T, stoppedAt time.Time) {
	runs := map[string]int{}
	for _, run := range f.runLog.runs {
		runs[run.id]++
	}
	served, refused, unread := 0, 0, 0
	for _, r := range f.generator.records {
		after := r.sentAt.Sub(stoppedAt).Round(10 * time.Millisecond)
		switch {
		case r.status == 200 && r.complete && r.body == wantResponse(r):
			served++
		case r.status == 503 && runs[r.id] == 0:
			refused++
		case r.status == 0 && runs[r.id] == 0:
			unread++
		default:
			t.Errorf("%s, sent %v after SIGTERM: %d runs, status %d, complete %v, %s, ended after %v",
				r.id, after, runs[r.id], r.status, r.complete, r.err, r.endedAt.Sub(r.sentAt).Round(10*time.Millisecond))
		}
	}
	t.Logf("%d requests served, %d refused, %d closed unread", served, refused, unread)
}
