package gossip

import (
	"fmt"
	"testing"
	"time"

	"mulberrydyke/plan"
)

// killReaders takes all hosts down that read the store.
func (f *simFleet) killReaders() {
	for _, h := range f.hosts {
		h.down = h.down || h.lists.mustRead
	}
}

// domainsWithoutReader returns the number of domains of which no host reads the store.
func (f *simFleet) domainsWithoutReader() int {
	readers := map[plan.DomainID]int{}
	for _, h := range f.hosts {
		if !h.down && h.lists.mustRead {
			readers[h.Domain]++
		}
	}
	return len(f.domains) - len(readers)
}

// TestChangeThatDeadReadersHadNotReadIsInForceInTime guards against hosts that rely on
// readers which were killed: they held them for alive for as long as a change may take,
// and served a key that was revoked.
func TestChangeThatDeadReadersHadNotReadIsInForceInTime(t *testing.T) {
	for _, size := range drainFleets() {
		if size.hostsPerDomain <= reportersPerDomain {
			continue
		}
		t.Run(fmt.Sprintf("%d hosts, %v lost", size.domains*size.hostsPerDomain, size.loss), func(t *testing.T) {
			t.Parallel()
			d := newRestoreDay(t, size)
			var took []time.Duration
			for version := plan.Version(8); version <= 10; version++ {
				d.store.put(version)
				d.killReaders()
				took = append(took, d.untilAllHave(version, 10*time.Second))
				for _, h := range d.hosts {
					h.down = false
				}
				d.run(5*time.Second, d.step)
			}
			t.Logf("all hosts have the changes after %v", took)
			for _, x := range took {
				if x > maxApplyDelay {
					t.Errorf("all hosts have a change after %v, want at most %v", x, maxApplyDelay)
				}
			}
		})
	}
}

// TestFewHostsReadInCalm checks that late and lost messages don't make many hosts read
// the store: two of a domain do, and a few more while messages are lost.
func TestFewHostsReadInCalm(t *testing.T) {
	for _, size := range drainFleets() {
		t.Run(fmt.Sprintf("%d hosts, %v lost", size.domains*size.hostsPerDomain, size.loss), func(t *testing.T) {
			t.Parallel()
			d := newRestoreDay(t, size)
			most, sum, steps := 0, 0, 0
			d.run(10*time.Second, func() {
				d.step()
				n := d.readers()
				most, sum, steps = max(most, n), sum+n, steps+1
			})
			mean := float64(sum) / float64(steps)
			t.Logf("%.2f hosts read on average, at most %d", mean, most)
			if allowed := float64(size.domains * min(size.hostsPerDomain, reportersPerDomain)); mean > allowed*5/4 {
				t.Errorf("%.2f hosts read on average, want at most %.2f", mean, allowed*5/4)
			}
		})
	}
}

// TestLeavingReaderIsReplaced checks that a reader that stops as planned no longer
// counts as one, so that others read before it is gone.
func TestLeavingReaderIsReplaced(t *testing.T) {
	t.Parallel()
	f := newSimFleet(t, 2, 4, 4, 0)
	f.run(5*time.Second, nil)
	var leaving []*simHost
	for _, h := range f.hosts {
		if h.lists.mustRead {
			h.Leave()
			leaving = append(leaving, h)
		}
	}
	f.run(2*time.Second, nil)
	for _, h := range leaving {
		h.down = true
	}
	if n := f.domainsWithoutReader(); n > 0 {
		t.Errorf("no host reads the store in %d of %d domains after the readers have left", n, len(f.domains))
	}
}
