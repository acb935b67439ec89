package host

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"mulberrydyke/peer"
)

// errStarting is returned to peers until all components of the host exist.
var errStarting = errors.New("the host is starting")

// askTimeout limits how long a request of another host waits in a queue here. After
// that the request is withdrawn and the reply says so.
const askTimeout = 10 * time.Minute

// peerHandler serves the RPCs of other hosts. Its exported methods are the methods of
// the peer protocol.
type peerHandler struct {
	host  *Host
	ready atomic.Bool
}

// checker is a message that can report whether it is valid.
type checker interface{ Check() error }

// checkCall returns an error if the host is still starting or the message is not valid.
func (p *peerHandler) checkCall(args checker) error {
	if !p.ready.Load() {
		return errStarting
	}
	return args.Check()
}

// Beat processes another host's heartbeat and replies with this host's own. Hosts of
// other domains also learn which hosts of this domain are absent.
func (p *peerHandler) Beat(args *peer.BeatArgs, reply *peer.BeatReply) error {
	if err := p.checkCall(args); err != nil {
		return err
	}
	h := p.host
	h.handleHeartbeat(context.Background(), args.Beat, nil, false)
	if len(args.Suspects) > 0 {
		h.receiveSuspects(args.Suspects)
	}
	reply.Beat = h.fleet.heartbeat(h.State().Versions())
	if args.Beat.Self.Domain != h.settings.Domain {
		reply.Absent = h.fleet.absentHosts(time.Now())
	}
	return nil
}

// Fetch returns a list in force, as the platform published it.
func (p *peerHandler) Fetch(args *peer.FetchArgs, reply *peer.FetchReply) error {
	if !p.ready.Load() {
		return errStarting
	}
	reply.Raw = p.host.State().Raw(args.Kind)
	return nil
}

// Ask queues a request in a pool that is scheduled here and waits for the decision.
func (p *peerHandler) Ask(args *peer.AskArgs, reply *peer.AskReply) error {
	if err := p.checkCall(args); err != nil {
		return err
	}
	if !p.host.isScheduler(args.Pool) {
		reply.Moved = true
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	decision := p.host.local.Submit(ctx, args.Pool, args.Ask.At(time.Now()))
	reply.Moved, reply.Withdrawn, reply.Command = decision.Moved, decision.Withdrawn, decision.Command
	return nil
}

// Report passes events about requests to the scheduler of their pool.
func (p *peerHandler) Report(args *peer.ReportArgs, _ *peer.Empty) error {
	if err := p.checkCall(args); err != nil {
		return err
	}
	for i := range args.Withdrawn {
		p.host.local.Send(args.Pool, &args.Withdrawn[i])
	}
	for i := range args.Started {
		p.host.local.Send(args.Pool, &args.Started[i])
	}
	for i := range args.Terms {
		p.host.local.Send(args.Pool, &args.Terms[i])
	}
	for i := range args.Ended {
		p.host.local.Send(args.Pool, &args.Ended[i])
	}
	return nil
}

// Runs returns the requests that this host is running in a pool, and the known
// suspects.
func (p *peerHandler) Runs(args *peer.RunsArgs, reply *peer.RunsReply) error {
	if !p.ready.Load() {
		return errStarting
	}
	reply.Runs = p.host.placer.Runs(args.Pool)
	reply.Suspects = p.host.local.KnownSuspects(time.Now())
	return nil
}

// Held returns the sequence numbers of the requests that this host is running in a
// pool.
func (p *peerHandler) Held(args *peer.RunsArgs, reply *peer.HeldReply) error {
	if !p.ready.Load() {
		return errStarting
	}
	held := p.host.heldGrants(args.Pool, time.Time{})
	reply.Incarnation, reply.Held = held.Incarnation, held.Held
	return nil
}

// TicketUse runs the job of a ticket whose home is this host. For a ticket that this
// host took over from its home it replies with what is known of the job.
func (p *peerHandler) TicketUse(args *peer.TicketUseArgs, reply *peer.TicketReply) error {
	if err := p.checkCall(args); err != nil {
		return err
	}
	*reply = p.host.tickets.TicketUse(args)
	return nil
}

// TicketRead returns a part of the answer to a ticket's job.
func (p *peerHandler) TicketRead(args *peer.TicketReadArgs, reply *peer.TicketReadReply) error {
	if err := p.checkCall(args); err != nil {
		return err
	}
	*reply = p.host.tickets.TicketRead(args)
	return nil
}

// Intent records, as the backup of a ticket, that its home is about to dispatch the
// job. The reply says whether the home may do so.
func (p *peerHandler) Intent(args *peer.TicketArgs, reply *peer.IntentReply) error {
	if err := p.checkCall(args); err != nil {
		return err
	}
	*reply = p.host.tickets.Intent(args)
	return nil
}

// Attest returns the outcome of a ticket whose home can't be reached, as far as this
// host knows it.
func (p *peerHandler) Attest(args *peer.TicketArgs, reply *peer.AttestReply) error {
	if err := p.checkCall(args); err != nil {
		return err
	}
	*reply = p.host.tickets.Attest(args)
	return nil
}

// HandOver receives a part of the tickets of a host that is stopping.
func (p *peerHandler) HandOver(args *peer.HandOverArgs, reply *peer.HandOverReply) error {
	if err := p.checkCall(args); err != nil {
		return err
	}
	*reply = p.host.tickets.HandOver(args)
	return nil
}
