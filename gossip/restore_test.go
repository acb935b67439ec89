package gossip

import (
	"fmt"
	"testing"
	"time"

	"mulberrydyke/plan"
	"mulberrydyke/route"
)

const (
	// maxApplyDelay is the time after a change was acknowledged until all hosts have it.
	maxApplyDelay = 2 * time.Second
	// simWatchDelay is how long the store takes to answer a watch, and gathers changes.
	simWatchDelay = 260 * time.Millisecond
)

// simStore is the platform's store of a simulated fleet.
type simStore struct {
	simSnapshot
	down bool
}

// put writes another version of the table.
func (s *simStore) put(v plan.Version) {
	s.Table = v
	s.Position.Revision++
}

// restoreDay is a fleet whose readers follow a store.
type restoreDay struct {
	*simFleet
	store simStore
	// refused reports which hosts the store refuses, if it is set.
	refused func(*simHost) bool
}

func newRestoreDay(t *testing.T, size drainFleet) *restoreDay {
	d := &restoreDay{simFleet: newSimFleet(t, size.domains, size.hostsPerDomain, 20, size.loss)}
	d.store.Table, d.store.Position = 4, route.Position{Epoch: 1, Revision: 100}
	d.run(5*time.Second, d.step)
	return d
}

// step lets the readers read.
func (d *restoreDay) step() {
	for _, h := range d.hosts {
		due := d.now.Sub(start)%simWatchDelay == h.offset%simWatchDelay
		if due && !h.down && h.lists.mustRead && !d.store.down && (d.refused == nil || !d.refused(h)) {
			before := *h.lists
			h.lists.read(d.store.simSnapshot)
			if *h.lists != before {
				h.Broadcast()
			}
		}
	}
}

// untilAllHave lets time pass until all hosts that are up have a version of the table and have
// read from the store's epoch, or until a timeout. It returns the time that passed.
func (d *restoreDay) untilAllHave(v plan.Version, timeout time.Duration) time.Duration {
	began := d.now
	for d.now.Sub(began) < timeout {
		d.run(simStep, d.step)
		missing := 0
		for _, h := range d.hosts {
			if !h.down && (h.lists.table < v || h.lists.position.Epoch < d.store.Position.Epoch) {
				missing++
			}
		}
		if missing == 0 {
			break
		}
	}
	return d.now.Sub(began)
}

// TestChangeAfterTheStoreCameBackIsInForceInTime guards against hosts that hold what they have of
// the epoch before for newer, because its revisions are higher, and so miss what is written after
// the store has come back from an older copy: also hosts that the store refuses, and ones that
// start meanwhile.
func TestChangeAfterTheStoreCameBackIsInForceInTime(t *testing.T) {
	for _, size := range drainFleets() {
		t.Run(fmt.Sprintf("%d hosts, %v lost", size.domains*size.hostsPerDomain, size.loss), func(t *testing.T) {
			t.Parallel()
			d := newRestoreDay(t, size)
			d.store.put(8)
			d.untilAllHave(8, 5*time.Second)
			d.store.down = true
			d.run(2*time.Second, d.step)
			d.store.down, d.store.Table, d.store.Position = false, 4, route.Position{Epoch: 2, Revision: 60}
			for range max(1, len(d.hosts)/6) {
				*d.hosts[d.random.IntN(len(d.hosts))].lists = simLists{}
			}
			first := d.hosts[0]
			d.refused = func(h *simHost) bool { return h != first && d.random.IntN(2) == 0 }
			d.store.put(11)
			took := d.untilAllHave(11, 10*time.Second)
			t.Logf("all hosts have the change after %v", took)
			if took > maxApplyDelay {
				t.Errorf("all hosts have the change after %v, want at most %v", took, maxApplyDelay)
			}
		})
	}
}
