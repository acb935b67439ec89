package placement

import (
	"context"
	"time"

	"mulberrydyke/plan"
	"mulberrydyke/pool"
)

const (
	// inboxSize bounds the messages queued for one scheduler.
	inboxSize    = 1024
	tickInterval = 100 * time.Millisecond
)

// message is sent to the goroutine of a scheduler. It carries an event or a
// function.
type message struct {
	event pool.Event
	// decision receives the decision on the request of a Submitted event. Its
	// capacity is one.
	decision chan Decision
	// done, if not nil, is closed once the message has been handled.
	done chan struct{}
	// fn, if not nil, is called in the scheduler's goroutine.
	fn func(*pool.Scheduler)
}

// Decision is the decision of a scheduler on a request.
type Decision struct {
	// Moved is set if the request has to be submitted again, because the host
	// that it was submitted to is no longer the pool's scheduler.
	Moved bool
	// Withdrawn is set if the request was withdrawn.
	Withdrawn bool
	// Command is set if neither Moved nor Withdrawn is.
	Command pool.Command
}

// actor runs one scheduler in its own goroutine.
type actor struct {
	scheduler       *pool.Scheduler
	inbox           chan message
	quit            chan struct{}
	done            chan struct{}
	waiters         map[pool.RequestID]chan Decision
	suspectsChanged chan<- struct{}
	suspects        *pool.Suspects
}

// newActor starts the goroutine of a new scheduler, to which it passes takeover. Each
// actor has its own table of suspects and signals suspectsChanged when a crash is
// added to it.
func newActor(now time.Time, takeover bool, suspectsChanged chan<- struct{}) *actor {
	suspects := pool.NewSuspects()
	a := &actor{
		scheduler:       pool.NewScheduler(now, takeover, suspects),
		inbox:           make(chan message, inboxSize),
		quit:            make(chan struct{}),
		done:            make(chan struct{}),
		waiters:         map[pool.RequestID]chan Decision{},
		suspectsChanged: suspectsChanged,
		suspects:        suspects,
	}
	go a.loop()
	return a
}

// loop handles messages and ticks until the actor is stopped.
func (a *actor) loop() {
	defer close(a.done)
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case m := <-a.inbox:
			a.handle(time.Now(), m)
		case now := <-tick.C:
			a.deliver(a.scheduler.Update(now, &pool.Ticked{}))
		case <-a.quit:
			a.drain()
			return
		}
	}
}

// handle processes one message.
func (a *actor) handle(now time.Time, m message) {
	if submitted, ok := m.event.(*pool.Submitted); ok {
		// A host submits a request again after its call failed, so nothing waits
		// for the decision on the first submission.
		a.reply(submitted.Request.ID, Decision{Moved: true})
		a.waiters[submitted.Request.ID] = m.decision
	}
	if m.event != nil {
		a.deliver(a.scheduler.Update(now, m.event))
	}
	if withdrawn, ok := m.event.(*pool.Withdrawn); ok {
		a.reply(withdrawn.ID, Decision{Withdrawn: true})
	}
	if m.fn != nil {
		m.fn(a.scheduler)
		a.deliver(a.scheduler.Update(now, &pool.Ticked{}))
	}
	if m.done != nil {
		close(m.done)
	}
	if a.suspects.TakeChanged() {
		select {
		case a.suspectsChanged <- struct{}{}:
		default:
		}
	}
}

// deliver sends each command to the request that it decides on.
func (a *actor) deliver(commands []pool.Command) {
	for _, c := range commands {
		a.reply(c.ID, Decision{Command: c})
	}
}

// reply sends a decision to the waiting request, if there is any.
func (a *actor) reply(id pool.RequestID, d Decision) {
	if ch := a.waiters[id]; ch != nil {
		delete(a.waiters, id)
		ch <- d
	}
}

// drain replies to every waiting request with Moved set.
func (a *actor) drain() {
	for {
		select {
		case m := <-a.inbox:
			if m.decision != nil {
				m.decision <- Decision{Moved: true}
			}
			if m.done != nil {
				close(m.done)
			}
		default:
			for id := range a.waiters {
				a.reply(id, Decision{Moved: true})
			}
			return
		}
	}
}

// send sends a message to the goroutine. It returns false if the actor is stopped.
func (a *actor) send(m message) bool {
	select {
	case <-a.quit:
		return false
	default:
	}
	select {
	case a.inbox <- m:
		return true
	case <-a.done:
		return false
	}
}

// sendEvent sends an event without waiting until it is handled.
func (a *actor) sendEvent(e pool.Event) { a.send(message{event: e}) }

// call calls fn in the goroutine of the scheduler and waits for its return. It does
// nothing if the actor is stopped.
func (a *actor) call(fn func(*pool.Scheduler)) {
	done := make(chan struct{})
	if !a.send(message{fn: fn, done: done}) {
		return
	}
	select {
	case <-done:
	case <-a.done:
	}
}

// submit submits a request and waits for the decision. When ctx is done the request
// is withdrawn; a grant that was made in the meantime is still returned.
func (a *actor) submit(ctx context.Context, req pool.Request) Decision {
	decision := make(chan Decision, 1)
	if !a.send(message{event: &pool.Submitted{Request: req}, decision: decision}) {
		return Decision{Moved: true}
	}
	select {
	case d := <-decision:
		return d
	case <-ctx.Done():
		a.sendEvent(&pool.Withdrawn{ID: req.ID})
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

// stop ends the goroutine. Waiting requests get a decision with Moved set.
func (a *actor) stop() {
	close(a.quit)
	<-a.done
}

// tierFloors returns the floors of all tiers, indexed by tier.
func tierFloors(s *plan.State) [plan.LowestTier + 1]float64 {
	var out [plan.LowestTier + 1]float64
	for t := plan.HighestTier; t <= plan.LowestTier; t++ {
		out[t] = s.FloorFraction(t)
	}
	return out
}
