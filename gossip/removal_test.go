package gossip

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"mulberrydyke/catalog"
	"mulberrydyke/plan"
	"mulberrydyke/route"
)

// catalogLists implements Lists with a catalog of upstreams.
type catalogLists struct {
	*simLists
	catalog *catalog.Catalog
	now     func() time.Time
	// sentBytes is the size of all snapshots.
	sentBytes int
}

func (l *catalogLists) Versions() (plan.Version, route.Position) { return 1, l.catalog.Position() }

func (l *catalogLists) Snapshot(since route.Position, table plan.Version) ([]byte, error) {
	raw, err := json.Marshal(l.catalog.SnapshotSince(l.now(), since, table))
	l.sentBytes += len(raw)
	return raw, err
}

func (l *catalogLists) Merge(raw []byte) error {
	var s catalog.Snapshot
	if err := json.Unmarshal(raw, &s); err != nil {
		return err
	}
	l.catalog.Merge(l.now(), s)
	return nil
}

func (l *catalogLists) StoreState() catalog.StoreState { return l.catalog.StoreState() }

func (l *catalogLists) RecordServedElsewhere(s catalog.ServedSpan) {
	l.catalog.RecordServedElsewhere(l.now(), s)
}

func (l *catalogLists) SetReadDuty(d catalog.ReadDuty) {
	if d.MustRead && !l.mustRead {
		l.catalog.BeginReading(l.now(), d)
	}
	l.simLists.SetReadDuty(d)
}

func (l *catalogLists) Reading() bool { return l.mustRead && !l.catalog.Failed() }

// idDecoder decodes entries without a value.
type idDecoder struct{}

func (idDecoder) DecodeTable([]byte) (*route.Table, error) { return nil, nil }

func (idDecoder) DecodeUpstream(id plan.UpstreamID, _ route.Position, _ []byte) (*route.Upstream, error) {
	return &route.Upstream{ID: id}, nil
}

// removalDay is a fleet that follows a store of upstreams.
type removalDay struct {
	*simFleet
	entries map[plan.UpstreamID]catalog.Entry
	history []catalog.Entry
	// failsFor, if set, reports whether the store fails for a host. A host notices its return
	// up to noticeDelay later.
	failsFor    func(*simHost) bool
	noticeDelay time.Duration
	// retryAt holds when each host calls the store again after a failure.
	retryAt map[*simHost]time.Time
	// answeredAt is when the store last answered each host.
	answeredAt map[*simHost]time.Time
}

// put writes an entry of an upstream, or removes it.
func (d *removalDay) put(id plan.UpstreamID, removed bool) {
	e := catalog.Entry{ID: id, Revision: uint64(len(d.history) + 1), Deleted: removed, Value: []byte(`{"service":"pool","address":"10.99.0.1:1","zone":"a"}`)}
	d.history = append(d.history, e)
	if d.entries[id] = e; removed {
		delete(d.entries, id)
	}
}

func newRemovalDay(t *testing.T, size drainFleet) *removalDay {
	d := &removalDay{simFleet: newSimFleet(t, size.domains, size.hostsPerDomain, 20, size.loss), entries: map[plan.UpstreamID]catalog.Entry{}, answeredAt: map[*simHost]time.Time{}, retryAt: map[*simHost]time.Time{}}
	for i := range 60 {
		d.put(simUpstream(i), false)
	}
	for _, h := range d.hosts {
		d.equip(h)
	}
	d.run(5*time.Second, d.step)
	return d
}

// equip gives a host an empty catalog.
func (d *removalDay) equip(h *simHost) {
	h.Lists = &catalogLists{simLists: h.lists, catalog: catalog.New(idDecoder{}), now: func() time.Time { return d.now }}
}

// simIdleWatch is how long the store holds a watch without an event.
const simIdleWatch = 1500 * time.Millisecond

// step lets the readers follow the store, and all hosts remove the upstreams whose grace period has
// ended.
func (d *removalDay) step() {
	for _, h := range d.hosts {
		if h.down {
			continue
		}
		h.Lists.(*catalogLists).catalog.Expire(d.now)
		if h.lists.mustRead && d.now.Sub(start)%simWatchDelay == h.offset%simWatchDelay {
			d.read(h)
		}
	}
}

// read lets a host read the store whole, if it has not or after a failure, else the changes.
func (d *removalDay) read(h *simHost) {
	c, asOf := h.Lists.(*catalogLists).catalog, uint64(len(d.history))
	fails := d.failsFor != nil && d.failsFor(h)
	if fails && !d.now.Before(d.retryAt[h]) {
		c.RecordFailure(d.now)
		d.retryAt[h] = d.now.Add(time.Duration(d.random.Int64N(int64(d.noticeDelay) + 1)))
	}
	if fails || d.now.Before(d.retryAt[h]) {
		return
	}
	before := c.Position()
	if before.IsZero() || c.Failed() {
		all := catalog.FullRead{AsOf: route.Position{Revision: asOf}}
		for _, e := range d.entries {
			all.Upstreams = append(all.Upstreams, e)
		}
		c.RecordRecovery(d.now)
		c.RecordServed(d.now, d.now, 0)
		d.answeredAt[h] = d.now
		c.ApplyFullRead(d.now, all)
	}
	for _, e := range d.history[before.Revision:] {
		c.ApplyUpstream(d.now, e)
	}
	c.Advance(asOf)
	if c.Position() != before || d.now.Sub(d.answeredAt[h]) >= simIdleWatch {
		c.RecordServed(d.now, d.now, 0)
		d.answeredAt[h] = d.now
	}
	if c.Position() != before {
		h.Broadcast()
	}
}

// lists returns how many hosts that are up list an upstream.
func (d *removalDay) lists(id plan.UpstreamID) int {
	n := 0
	for _, h := range d.hosts {
		if !h.down && h.Lists.(*catalogLists).catalog.Upstreams().ByID[id] != nil {
			n++
		}
	}
	return n
}

// untilNoneHas lets time pass until no host that is up lists an upstream, or until a
// timeout. It returns the time that passed.
func (d *removalDay) untilNoneHas(id plan.UpstreamID, timeout time.Duration) time.Duration {
	began := d.now
	for d.now.Sub(began) < timeout {
		d.run(simStep, d.step)
		if d.lists(id) == 0 {
			break
		}
	}
	return d.now.Sub(began)
}

// bytesSent returns the size of all snapshots that hosts have sent.
func (d *removalDay) bytesSent() int {
	n := 0
	for _, h := range d.hosts {
		n += h.Lists.(*catalogLists).sentBytes
	}
	return n
}

// restartReaders kills all readers of the first domain, removes an upstream a time after
// that, and lets the hosts start anew half a second after the kill. It returns the time
// from the removal until no host lists the upstream.
func (d *removalDay) restartReaders(id plan.UpstreamID, removeAfter time.Duration) time.Duration {
	const restartAfter = 500 * time.Millisecond
	var killed []int
	for i, h := range d.hosts {
		if h.Domain == d.domains[0] && h.lists.mustRead {
			h.down, killed = true, append(killed, i)
		}
	}
	d.run(min(removeAfter, restartAfter), d.step)
	if removeAfter < restartAfter {
		d.put(id, true)
		d.run(restartAfter-removeAfter, d.step)
		d.startAnew(killed)
		return restartAfter - removeAfter + d.untilNoneHas(id, 10*time.Second)
	}
	d.startAnew(killed)
	d.run(removeAfter-restartAfter, d.step)
	d.put(id, true)
	return d.untilNoneHas(id, 10*time.Second)
}

// startAnew starts hosts again that know nothing.
func (d *removalDay) startAnew(hosts []int) {
	for _, i := range hosts {
		d.restart(i)
		d.equip(d.hosts[i])
	}
}

// TestRemovalReachesAllHostsInTime guards against removals that are lost by way of hosts
// that were started anew: readers of a domain are restarted, several times in a row, and
// upstreams leave before, during and after that.
func TestRemovalReachesAllHostsInTime(t *testing.T) {
	for _, size := range drainFleets() {
		t.Run(fmt.Sprintf("%d hosts, %v lost", size.domains*size.hostsPerDomain, size.loss), func(t *testing.T) {
			t.Parallel()
			d := newRemovalDay(t, size)
			var took []time.Duration
			for i, after := range []time.Duration{0, 200 * time.Millisecond, 490 * time.Millisecond, 500 * time.Millisecond, 560 * time.Millisecond, 800 * time.Millisecond} {
				took = append(took, d.restartReaders(simUpstream(i), after))
				d.run(2*time.Second, d.step)
			}
			before := d.bytesSent()
			for i := 20; i < 30; i++ {
				d.put(simUpstream(i), true)
				d.run(time.Second, d.step)
			}
			t.Logf("no host lists the upstream after %v; 10 changes in calm take %d bytes a host", took, (d.bytesSent()-before)/len(d.hosts))
			for _, x := range took {
				if x > maxDrainDelay {
					t.Errorf("a host lists the upstream for %v after its removal, want at most %v", x, maxDrainDelay)
				}
			}
		})
	}
}
