package gossip

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"mulberrydyke/call"
	"mulberrydyke/quarantine"
	"mulberrydyke/route"
)

// harmlessAfter is how long a stream goes on until its parts count as sound.
const harmlessAfter = 500 * time.Millisecond

// simEngine is an engine of a simFleet that crashes soon after it begins to answer a
// prompt with the part "bad".
type simEngine struct {
	runs    []simRun
	starts  int
	downFor time.Duration
}

type simRun struct {
	host       *simHost
	request    *call.Request
	begin, end time.Time
	bad        bool
}

// crashDay sends sound and bad requests to random hosts and engines of a fleet.
type crashDay struct {
	*simFleet
	engines []*simEngine
	crashes int
	// crashesUntilKnown is the number of crashes from which all hosts must refuse bad
	// requests, and knownAt when that many engines had crashed.
	crashesUntilKnown int
	knownAt           time.Time
	// lateBad counts the bad requests sent over knowsWithin after knownAt. sound and
	// refused count the sound ones, and those of them that were refused.
	lateBad, sound, refused int
}

func newCrashDay(t *testing.T, domains, hostsPerDomain, engines int) *crashDay {
	d := &crashDay{simFleet: newSimFleet(t, domains, hostsPerDomain, 10, 0.05), crashesUntilKnown: 5}
	for range engines {
		d.engines = append(d.engines, &simEngine{})
	}
	return d
}

// step sends the requests of one step and lets the engines run.
func (d *crashDay) step(soundPerSecond, badPerSecond float64) {
	for _, e := range d.engines {
		d.runEngine(e)
	}
	if d.random.Float64() < soundPerSecond*simStep.Seconds() {
		d.send(fmt.Sprintf("subject%d", d.random.IntN(8)), false)
	}
	if d.random.Float64() < badPerSecond*simStep.Seconds() {
		d.send("bad", true)
	}
}

// send sends a request with a part in its prompt that others share.
func (d *crashDay) send(part string, bad bool) {
	own := fmt.Sprint(d.random.Uint64())
	d.sendRequest(&call.Request{Body: []byte(own), Prompt: call.Prompt{Parts: []call.PromptPart{{ID: "rules"}, {ID: part}, {ID: own}}}}, bad)
}

// sendRequest sends a request to a random host, which sends it to a random engine unless
// it refuses it.
func (d *crashDay) sendRequest(r *call.Request, bad bool) {
	h, e := d.hosts[d.random.IntN(len(d.hosts))], d.engines[d.random.IntN(len(d.engines))]
	refused := h.Quarantine.QuarantineLeft(d.now, quarantine.TraitsOf(r)) > 0
	if !bad {
		d.sound++
	}
	if refused && !bad {
		d.refused++
	}
	if refused || e.downFor > 0 {
		return
	}
	if bad && !d.knownAt.IsZero() && d.now.Sub(d.knownAt) >= knowsWithin {
		d.lateBad++
	}
	begin := d.now.Add(50 * time.Millisecond)
	e.runs = append(e.runs, simRun{host: h, request: r, bad: bad, begin: begin, end: begin.Add(200*time.Millisecond + time.Duration(d.random.Int64N(int64(1200*time.Millisecond))))})
}

func (d *crashDay) runEngine(e *simEngine) {
	e.downFor -= simStep
	if slices.ContainsFunc(e.runs, func(r simRun) bool { return r.bad && d.now.Sub(r.begin) >= 80*time.Millisecond }) {
		d.crash(e)
		return
	}
	e.runs = slices.DeleteFunc(e.runs, func(r simRun) bool {
		switch ran := d.now.Sub(r.begin); {
		case !d.now.Before(r.end):
			r.host.Quarantine.RecordHarmless(d.now, r.begin, quarantine.TraitsOf(r.request))
			return true
		case ran == harmlessAfter:
			r.host.Quarantine.RecordHarmless(d.now, r.begin, quarantine.PartsOf(r.request))
		}
		return false
	})
}

func (d *crashDay) crash(e *simEngine) {
	e.starts++
	u := &route.Upstream{ID: simUpstream(slices.Index(d.engines, e)), StartedAt: start.Add(time.Duration(e.starts) * time.Hour)}
	for _, r := range e.runs {
		traits := quarantine.TraitsOf(r.request)
		if d.now.Sub(r.begin) >= harmlessAfter {
			traits = traits[:1] // the content; the parts are no suspects any more
		}
		r.host.Quarantine.RecordCrash(d.now, traits, u)
	}
	e.runs, e.downFor = nil, 3*time.Second
	if d.crashes++; d.crashes == d.crashesUntilKnown {
		d.knownAt = d.now
	}
}

// TestPartThatCrashesEnginesIsRefusedEverywhere guards against fleets that go on sending
// requests with one part in their prompts that crashes engines, and against fleets that
// refuse sound requests which share the other parts.
func TestPartThatCrashesEnginesIsRefusedEverywhere(t *testing.T) {
	for _, size := range []struct{ domains, hostsPerDomain, engines int }{{3, 2, 9}, {3, 3, 9}, {5, 10, 45}} {
		t.Run(fmt.Sprintf("%d hosts", size.domains*size.hostsPerDomain), func(t *testing.T) {
			t.Parallel()
			d := newCrashDay(t, size.domains, size.hostsPerDomain, size.engines)
			soundPerSecond := 4 * float64(size.engines)
			d.run(4*time.Second, func() { d.step(soundPerSecond, 0) })
			d.run(12*time.Second, func() { d.step(soundPerSecond, 8) })
			if d.knownAt.IsZero() && d.crashes < 3 {
				t.Fatalf("only %d engines crashed", d.crashes)
			}
			if d.lateBad > 3 {
				t.Errorf("%d bad requests were sent %v after the fifth crash, want at most 3", d.lateBad, knowsWithin)
			}
			if d.refused*20 > d.sound {
				t.Errorf("%d of %d sound requests were refused", d.refused, d.sound)
			}
			t.Logf("%d engines crashed, %d bad requests late, %d of %d sound ones refused", d.crashes, d.lateBad, d.refused, d.sound)
		})
	}
}

// TestCrashOfAllEnginesBlamesNoPart guards against fleets that refuse a part which all
// prompts share for minutes, because it was on all engines when they ended for another
// reason, at once or within a second, soon after the hosts had started or later.
func TestCrashOfAllEnginesBlamesNoPart(t *testing.T) {
	for _, spread := range []time.Duration{0, time.Second} {
		for _, before := range []time.Duration{400 * time.Millisecond, 5 * time.Second} {
			t.Run(fmt.Sprintf("within %v after %v", spread, before), func(t *testing.T) {
				t.Parallel()
				d := newCrashDay(t, 3, 3, 9)
				d.run(3*time.Second, nil)
				d.run(before, func() { d.step(200, 0) })
				next := 0
				begin := d.now
				d.run(10*time.Second, func() {
					for next < len(d.engines) && d.now.Sub(begin) >= time.Duration(next)*spread/9 {
						d.crash(d.engines[next])
						next++
					}
					d.step(200, 0)
				})
				if d.refused > 0 {
					t.Errorf("%d of %d sound requests were refused", d.refused, d.sound)
				}
			})
		}
	}
}
