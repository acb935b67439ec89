package placement

import (
	"context"
	"time"

	"mulberrydyke/plan"
	"mulberrydyke/pool"
)

const (
	// ringSize bounds the messages that wait for one scheduler.
	ringSize = 1024
	tickTime = 100 * time.Millisecond
)

// message is what a scheduler's goroutine receives: an event, and where the
// decision on a request goes.
type message struct {
	event pool.Event
	// decision is set with an Asked event. It holds one decision.
	decision chan Decision
	// done is set where the sender waits until the message was handled.
	done chan struct{}
	// call runs in the scheduler's goroutine.
	call func(*pool.Scheduler)
}

// Decision is a scheduler's answer to a request.
type Decision struct {
	// Moved is set where the request has to be asked for again, because this
	// host is no longer the pool's scheduler.
	Moved bool
	// Withdrawn is set where the request was withdrawn.
	Withdrawn bool
	Command   pool.Command
}

// actor runs one scheduler in a goroutine of its own.
type actor struct {
	core     *pool.Scheduler
	ring     chan message
	quit     chan struct{}
	done     chan struct{}
	waiters  map[pool.RequestID]chan Decision
	changed  chan<- struct{}
	suspects *pool.Suspects
}

// newActor starts a scheduler. Each actor keeps a table of suspects of its
// own; changed is signalled when the table has news.
func newActor(now time.Time, takeover bool, changed chan<- struct{}) *actor {
	suspects := pool.NewSuspects()
	a := &actor{
		core:     pool.NewScheduler(now, takeover, suspects),
		ring:     make(chan message, ringSize),
		quit:     make(chan struct{}),
		done:     make(chan struct{}),
		waiters:  map[pool.RequestID]chan Decision{},
		changed:  changed,
		suspects: suspects,
	}
	go a.loop()
	return a
}

func (a *actor) loop() {
	defer close(a.done)
	tick := time.NewTicker(tickTime)
	defer tick.Stop()
	for {
		select {
		case m := <-a.ring:
			a.handle(time.Now(), m)
		case now := <-tick.C:
			a.apply(a.core.Update(now, &pool.Ticked{}))
		case <-a.quit:
			a.drain()
			return
		}
	}
}

func (a *actor) handle(now time.Time, m message) {
	if asked, ok := m.event.(*pool.Asked); ok {
		// A host asks again where its call broke; nobody waits for the first.
		a.decide(asked.Ask.ID, Decision{Moved: true})
		a.waiters[asked.Ask.ID] = m.decision
	}
	if m.event != nil {
		a.apply(a.core.Update(now, m.event))
	}
	if gone, ok := m.event.(*pool.Withdrawn); ok {
		a.decide(gone.ID, Decision{Withdrawn: true})
	}
	if m.call != nil {
		m.call(a.core)
		a.apply(a.core.Update(now, &pool.Ticked{}))
	}
	if m.done != nil {
		close(m.done)
	}
	if a.suspects.TakeChanged() {
		select {
		case a.changed <- struct{}{}:
		default:
		}
	}
}

func (a *actor) apply(commands []pool.Command) {
	for _, c := range commands {
		a.decide(c.ID, Decision{Command: c})
	}
}

func (a *actor) decide(id pool.RequestID, d Decision) {
	if ch := a.waiters[id]; ch != nil {
		delete(a.waiters, id)
		ch <- d
	}
}

// drain tells every waiting request to ask elsewhere.
func (a *actor) drain() {
	for {
		select {
		case m := <-a.ring:
			if m.decision != nil {
				m.decision <- Decision{Moved: true}
			}
			if m.done != nil {
				close(m.done)
			}
		default:
			for id := range a.waiters {
				a.decide(id, Decision{Moved: true})
			}
			return
		}
	}
}

// send hands a message to the goroutine. It returns false once it has ended.
func (a *actor) send(m message) bool {
	select {
	case <-a.quit:
		return false
	default:
	}
	select {
	case a.ring <- m:
		return true
	case <-a.done:
		return false
	}
}

// tell sends an event without waiting for its effect.
func (a *actor) tell(e pool.Event) { a.send(message{event: e}) }

// run calls f in the goroutine and waits for it.
func (a *actor) run(f func(*pool.Scheduler)) {
	done := make(chan struct{})
	if !a.send(message{call: f, done: done}) {
		return
	}
	select {
	case <-done:
	case <-a.done:
	}
}

// ask queues a request and waits for the decision. When ctx ends the request
// is withdrawn; a grant that was made meanwhile is returned all the same.
func (a *actor) ask(ctx context.Context, request pool.Ask) Decision {
	decision := make(chan Decision, 1)
	if !a.send(message{event: &pool.Asked{Ask: request}, decision: decision}) {
		return Decision{Moved: true}
	}
	select {
	case d := <-decision:
		return d
	case <-ctx.Done():
		a.tell(&pool.Withdrawn{ID: request.ID})
	case <-a.done:
	}
	select {
	case d := <-decision:
		return d
	case <-a.done:
	}
	select {
	case d := <-decision:
		return d
	default:
		return Decision{Moved: true}
	}
}

// stop ends the goroutine; waiting requests are told to ask elsewhere.
func (a *actor) stop() {
	close(a.quit)
	<-a.done
}

// floorsOf returns the floor of each tier.
func floorsOf(s *plan.State) [plan.LowestTier + 1]float64 {
	var out [plan.LowestTier + 1]float64
	for t := plan.HighestTier; t <= plan.LowestTier; t++ {
		out[t] = s.FloorFraction(t)
	}
	return out
}
