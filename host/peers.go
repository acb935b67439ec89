package host

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"mulberrydyke/peer"
)

// errStarting is returned to peers until the host's parts are in place.
var errStarting = errors.New("the host is starting")

// askTime bounds how long a request of another host waits here; the other
// host asks again.
const askTime = 10 * time.Minute

// peerHandler serves the calls of other hosts. Its exported methods are the
// methods of the inner protocol.
type peerHandler struct {
	host  *Host
	ready atomic.Bool
}

// checker is a message that checks itself.
type checker interface{ Check() error }

func (p *peerHandler) admit(c checker) error {
	if !p.ready.Load() {
		return errStarting
	}
	return c.Check()
}

// Beat exchanges heartbeats.
func (p *peerHandler) Beat(args *peer.BeatArgs, reply *peer.BeatReply) error {
	if err := p.admit(args); err != nil {
		return err
	}
	h := p.host
	h.heard(context.Background(), args.Beat, nil, false)
	if len(args.Suspects) > 0 {
		h.crashesTold(args.Suspects)
	}
	reply.Beat = h.fleet.beat(h.State().Versions())
	if args.Beat.Self.Domain != h.settings.Domain {
		reply.Absent = h.fleet.absent(time.Now())
	}
	return nil
}

// Fetch returns a list in force.
func (p *peerHandler) Fetch(args *peer.FetchArgs, reply *peer.FetchReply) error {
	if !p.ready.Load() {
		return errStarting
	}
	reply.Raw = p.host.State().Raw(args.Kind)
	return nil
}

// Ask waits for a place in a pool that is decided here.
func (p *peerHandler) Ask(args *peer.AskArgs, reply *peer.AskReply) error {
	if err := p.admit(args); err != nil {
		return err
	}
	if !p.host.isScheduler(args.Pool) {
		reply.Moved = true
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), askTime)
	defer cancel()
	d := p.host.local.Ask(ctx, args.Pool, args.Ask.ToLocalTime(time.Now()))
	reply.Moved, reply.Withdrawn, reply.Command = d.Moved, d.Withdrawn, d.Command
	return nil
}

// Report takes in how requests fare.
func (p *peerHandler) Report(args *peer.ReportArgs, _ *peer.Empty) error {
	if err := p.admit(args); err != nil {
		return err
	}
	for i := range args.Withdrawn {
		p.host.local.Tell(args.Pool, &args.Withdrawn[i])
	}
	for i := range args.Started {
		p.host.local.Tell(args.Pool, &args.Started[i])
	}
	for i := range args.Ended {
		p.host.local.Tell(args.Pool, &args.Ended[i])
	}
	return nil
}

// Runs returns what this host runs in a pool.
func (p *peerHandler) Runs(args *peer.RunsArgs, reply *peer.RunsReply) error {
	if !p.ready.Load() {
		return errStarting
	}
	reply.Runs = p.host.placer.Runs(args.Pool)
	reply.Suspects = p.host.local.Known(time.Now())
	return nil
}

// Held returns the numbers of what this host runs in a pool.
func (p *peerHandler) Held(args *peer.RunsArgs, reply *peer.HeldReply) error {
	if !p.ready.Load() {
		return errStarting
	}
	held := p.host.held(args.Pool, time.Time{})
	reply.Incarnation, reply.Held = held.Incarnation, held.Held
	return nil
}

// TicketUse takes a ticket that belongs here.
func (p *peerHandler) TicketUse(args *peer.TicketUseArgs, reply *peer.TicketReply) error {
	if err := p.admit(args); err != nil {
		return err
	}
	*reply = p.host.tickets.TicketUse(args)
	return nil
}

// TicketRead returns a part of a ticket's answer.
func (p *peerHandler) TicketRead(args *peer.TicketReadArgs, reply *peer.TicketReadReply) error {
	if err := p.admit(args); err != nil {
		return err
	}
	*reply = p.host.tickets.TicketRead(args)
	return nil
}

// Intent agrees to the dispatch of a ticket, or not.
func (p *peerHandler) Intent(args *peer.TicketArgs, reply *peer.IntentReply) error {
	if err := p.admit(args); err != nil {
		return err
	}
	*reply = p.host.tickets.Intent(args)
	return nil
}

// Attest says what became of a ticket whose home can't be reached.
func (p *peerHandler) Attest(args *peer.TicketArgs, reply *peer.AttestReply) error {
	if err := p.admit(args); err != nil {
		return err
	}
	*reply = p.host.tickets.Attest(args)
	return nil
}

// HandOver takes a part of the handover of a host that is stopping.
func (p *peerHandler) HandOver(args *peer.HandOverArgs, reply *peer.HandOverReply) error {
	if err := p.admit(args); err != nil {
		return err
	}
	*reply = p.host.tickets.HandOver(args)
	return nil
}
