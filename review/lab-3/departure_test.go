//go:build review

package lab

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// drainTime is the bound drainMs.
	drainTime = 2 * time.Second
	// lingerTime is how long a runner goes on serving after drainTime.
	lingerTime = 1500 * time.Millisecond
	// cutTime is how long the cut host does not reach the store.
	cutTime = 120 * time.Millisecond
	// cycleTime is the time from one replacement of a runner to the next, and cycles their number.
	cycleTime = 4200 * time.Millisecond
	cycles    = 23
	// departureDelay is the time from when the new runner is ready until the old one leaves.
	departureDelay = 20 * time.Millisecond
	// spareRunners is the number of runners that are ready at any time.
	spareRunners = 3
	// clients is the number of clients of each calm host, and clientPause the time between two
	// requests of one.
	clients     = 4
	clientPause = 20 * time.Millisecond
)

// departures plays the departures of runners.
type departures struct {
	*world
	mu sync.Mutex
	// sent holds when the client sent each request, and to which host.
	sent map[string]sending
	// left holds when the store accepted the removal of each runner's entry.
	left    map[string]time.Time
	runners []*runner
	count   int
	broken  int
	served  atomic.Int64
	failed  atomic.Int64
}

type sending struct {
	at   time.Time
	host string
}

// playDeparture plays runners that are replaced and leave without reporting draining, each soon
// after one machine of the zone was cut off from the store for a short time. Clients use only the other
// two machines, which nothing disturbs.
func playDeparture(w *world) (int, error) {
	d := &departures{world: w, sent: map[string]sending{}, left: map[string]time.Time{}}
	w.store.put("op/config", configuration(3))
	for range spareRunners {
		if err := d.addRunner(); err != nil {
			return 0, err
		}
	}
	if err := w.startHosts("a", "a", "a"); err != nil {
		return 0, err
	}
	stop := make(chan struct{})
	var running sync.WaitGroup
	for _, h := range w.hosts[1:] {
		for range clients {
			running.Go(func() { d.runClient(h, stop) })
		}
	}
	var err error
	for range cycles {
		if err = d.cycle(); err != nil {
			break
		}
	}
	close(stop)
	running.Wait()
	w.record.printf("answered with 200: %d, otherwise: %d", d.served.Load(), d.failed.Load())
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.broken, err
}

// addRunner starts a runner that registers in the store.
func (d *departures) addRunner() error {
	d.count++
	r := &runner{id: fmt.Sprintf("i-%04d", d.count), service: appService, work: 15 * time.Millisecond, arrived: d.arrived}
	d.runners = append(d.runners, r)
	return d.world.addRunner(r)
}

// cycle cuts the first host off from the store for a short time, and then has a runner replaced:
// the new one is ready first, the old one leaves.
func (d *departures) cycle() error {
	begin := time.Now()
	cut := d.hosts[0]
	if d.trouble {
		d.record.printf("%s is cut off from the store", cut.name)
		cut.door.setCut(true)
	}
	time.Sleep(cutTime)
	if d.trouble {
		cut.door.setCut(false)
		d.record.printf("%s reaches the store again", cut.name)
	}
	if err := d.addRunner(); err != nil {
		return err
	}
	time.Sleep(departureDelay)
	d.leave()
	time.Sleep(time.Until(begin.Add(cycleTime)))
	return nil
}

// leave lets the oldest runner leave: its entry is removed, and it goes on serving for a while.
func (d *departures) leave() {
	r := d.runners[0]
	d.runners = d.runners[1:]
	at := d.store.remove("servers/" + r.id)
	d.mu.Lock()
	d.left[r.id] = at
	d.mu.Unlock()
	d.record.printf("runner %s leaves: the store has accepted the removal of its entry", r.id)
	time.AfterFunc(drainTime+lingerTime, func() { _ = r.server.Close() })
}

// arrived checks a request that has reached a runner. It breaks the rule if both its sending by
// the client and its arrival came later than drainTime after the acknowledgement.
func (d *departures) arrived(a arrival) {
	d.mu.Lock()
	defer d.mu.Unlock()
	left, ok := d.left[a.runner]
	s := d.sent[a.request]
	if !ok || a.at.Sub(left) <= drainTime || s.at.Sub(left) <= drainTime {
		return
	}
	d.broken++
	d.record.printf("DRAIN: request %s, sent to %s %d ms after runner %s had left, reached it %d ms after that",
		a.request, s.host, s.at.Sub(left).Milliseconds(), a.runner, a.at.Sub(left).Milliseconds())
}

// runClient sends requests to a host until stop is closed.
func (d *departures) runClient(h *host, stop <-chan struct{}) {
	client := http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{}}
	for {
		select {
		case <-stop:
			return
		case <-time.After(clientPause):
		}
		d.send(&client, h)
	}
}

// requests counts the requests of all clients.
var requests atomic.Int64

func (d *departures) send(client *http.Client, h *host) {
	id := fmt.Sprintf("q%07d", requests.Add(1))
	request, err := http.NewRequest(http.MethodGet, "http://"+h.front()+lookupPath+"1", nil)
	if err != nil {
		panic(err) // the address is of this program
	}
	request.Host = callerHost
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", "4000")
	d.mu.Lock()
	d.sent[id] = sending{at: time.Now(), host: h.name}
	d.mu.Unlock()
	response, err := client.Do(request)
	if err != nil {
		d.failed.Add(1)
		d.record.printf("request %s to %s failed: %v", id, h.name, err)
		return
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body) // the status tells enough here
	if response.StatusCode != http.StatusOK {
		d.failed.Add(1)
		d.record.printf("request %s to %s got %d", id, h.name, response.StatusCode)
		return
	}
	d.served.Add(1)
}
