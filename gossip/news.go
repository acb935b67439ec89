package gossip

import (
	"context"
	"net/netip"
	"time"

	"mulberrydyke/clock"
	"mulberrydyke/drain"
	"mulberrydyke/quarantine"
	"mulberrydyke/ratelimit"
)

const (
	// updateInterval is the minimum time between two messages of one kind that are sent at once.
	updateInterval = 50 * time.Millisecond
	// reminderRounds is the number of rounds from one reminder to the next.
	reminderRounds = 2
	// drainReminderFanout bounds the hosts of the group that one host reminds at once of draining
	// upstreams. Each host is reminded by as many on average.
	drainReminderFanout = 2
)

// news is one kind of what hosts tell each other of upstreams: at once when it changes, some more
// times after that, and in turn from time to time, for hosts that start or were out of reach.
type news interface {
	// changed returns a channel that signals that there is something to tell at once.
	changed() <-chan struct{}
	// unsent returns messages on what was not told yet, by a host with a role.
	unsent(now time.Time, role Role) []Message
	// next returns messages on what other hosts may not know.
	next(now time.Time) []Message
	// reminders returns messages on some of what was told before, other ones at each call.
	reminders(now time.Time) []Message
	// reminderFanout bounds the hosts of the group that are reminded at once. Zero stands for
	// those that get a report in the same round.
	reminderFanout() int
}

// newsOf returns all kinds of news that a node tells.
func newsOf(o Options) []news {
	return []news{suspectNews{o.Quarantine}, limitNews{o.Limiter.Table}, drainNews{o.Drains}}
}

// suspectNews tells of requests suspected of crashing upstreams.
type suspectNews struct{ table *quarantine.Table }

func (s suspectNews) changed() <-chan struct{} { return s.table.Changed() }

// unsent implements news. Hosts that speak for nobody leave it to the others to pass on at once
// what they were told.
func (s suspectNews) unsent(now time.Time, role Role) []Message {
	return suspectMessages(s.table.UnsentUpdates(now, role < RoleSpeaker)...)
}

func (s suspectNews) next(now time.Time) []Message {
	return suspectMessages(s.table.NextUpdates(now)...)
}

func (s suspectNews) reminders(now time.Time) []Message {
	return suspectMessages(s.table.Reminders(now))
}

func (s suspectNews) reminderFanout() int { return 0 }

func suspectMessages(lists ...[]quarantine.Suspect) []Message {
	return messages(lists, func(list []quarantine.Suspect) Message { return Message{Kind: KindSuspects, Suspects: list} })
}

// limitNews tells of rate limits and pauses of upstreams.
type limitNews struct{ table *ratelimit.Table }

func (l limitNews) changed() <-chan struct{} { return l.table.Changed() }

// unsent implements news. What this host was told itself it passes on in the same way, so that a
// change reaches all hosts though some datagrams are lost.
func (l limitNews) unsent(now time.Time, _ Role) []Message {
	return limitMessages(l.table.Unsent(now)...)
}

func (l limitNews) next(now time.Time) []Message { return limitMessages(l.table.Next(now)...) }

func (l limitNews) reminders(now time.Time) []Message { return limitMessages(l.table.Reminders(now)) }

func (l limitNews) reminderFanout() int { return 0 }

func limitMessages(lists ...[]ratelimit.Update) []Message {
	return messages(lists, func(list []ratelimit.Update) Message { return Message{Kind: KindLimits, Limits: list} })
}

// drainNews tells of draining upstreams.
type drainNews struct{ table *drain.Table }

func (d drainNews) changed() <-chan struct{} { return d.table.Changed() }

func (d drainNews) unsent(now time.Time, _ Role) []Message {
	return drainMessages(d.table.Unsent(now)...)
}

func (d drainNews) next(now time.Time) []Message { return drainMessages(d.table.Next(now)...) }

func (d drainNews) reminders(now time.Time) []Message { return drainMessages(d.table.Reminders(now)) }

func (d drainNews) reminderFanout() int { return drainReminderFanout }

func drainMessages(lists ...[]drain.Update) []Message {
	return messages(lists, func(list []drain.Update) Message { return Message{Kind: KindDrains, Drains: list} })
}

// messages returns a message for each list that is not empty.
func messages[T any](lists [][]T, message func([]T) Message) []Message {
	var out []Message
	for _, list := range lists {
		if len(list) > 0 {
			out = append(out, message(list))
		}
	}
	return out
}

// runUpdates tells news at once when it changes, at most once per updateInterval, until ctx ends.
func (n *Node) runUpdates(ctx context.Context, x news) {
	for {
		select {
		case <-x.changed():
			n.sendUpdates(n.Now(), x)
			clock.Sleep(ctx, updateInterval)
		case <-ctx.Done():
			return
		}
	}
}

// sendUpdates tells all live hosts of the group, and those that a speaker or a reporter speaks to,
// of what this host has not told yet.
func (n *Node) sendUpdates(now time.Time, x news) {
	n.mu.Lock()
	role, targets := n.role, n.members.UpdateTargets(now, addresses(n.members.liveInGroup(now)))
	n.mu.Unlock()
	n.sendMessages(now, targets, x.unsent(now, role))
}

// tell tells some hosts of the group, and those that a speaker or a reporter speaks to, of what
// they may not know, and reminds them of other things from time to time.
func (n *Node) tell(now time.Time, group []netip.Addr) {
	n.mu.Lock()
	n.newsRounds++
	rounds := n.newsRounds
	targets := n.members.UpdateTargets(now, group)
	n.mu.Unlock()
	for _, x := range n.news {
		n.sendMessages(now, targets, x.next(now))
		if rounds%reminderRounds == 0 {
			n.remind(now, x, rounds/reminderRounds, targets)
		}
	}
}

// remind sends reminders to the given hosts, or to others in turn if there is a bound.
func (n *Node) remind(now time.Time, x news, round int, targets []netip.Addr) {
	list := x.reminders(now)
	if fanout := x.reminderFanout(); fanout > 0 && len(list) > 0 {
		n.mu.Lock()
		live := n.members.liveInGroup(now)
		first := n.members.countBefore(live) + round*fanout
		targets = n.members.UpdateTargets(now, cyclic(addresses(live), first, fanout))
		n.mu.Unlock()
	}
	n.sendMessages(now, targets, list)
}

func (n *Node) sendMessages(now time.Time, targets []netip.Addr, list []Message) {
	for _, m := range list {
		n.sendMessage(now, targets, m)
	}
}

// cyclic returns up to n elements of a list from an index on, which goes on at the beginning.
func cyclic(list []netip.Addr, first, n int) []netip.Addr {
	var out []netip.Addr
	for i := range min(n, len(list)) {
		out = append(out, list[(first+i)%len(list)])
	}
	return out
}
