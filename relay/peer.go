package relay

import (
	"context"
	"time"

	"mulberrydyke/clock"
	"mulberrydyke/member"
	"mulberrydyke/peer"
	"mulberrydyke/plan"
	"mulberrydyke/refusal"
	"mulberrydyke/ticket"
)

// TicketUse serves a peer that brings a ticket.
func (r *Relay) TicketUse(a *peer.TicketUseArgs) peer.TicketReply {
	name, err := ticket.Parse(a.Ticket)
	if err != nil {
		return peer.TicketReply{Refusal: toPeer(refusal.New(refusal.TicketInvalid, err.Error()))}
	}
	if name.Home != formerOf(r.fleet.Self()) {
		_, err := r.received(a.Ticket, a.Job.Account, a.Job.Hash())
		return peer.TicketReply{Refusal: toPeer(err)}
	}
	_, err = r.begin(a.Ticket, &a.Job, time.Now().Add(-a.Age))
	return peer.TicketReply{Refusal: toPeer(err)}
}

func (r *Relay) received(t ticket.Token, account plan.AccountID, hash ticket.Hash) (ticket.Settled, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.successor.Use(t, account, hash)
}

// TicketRead serves a peer that reads a ticket's answer.
func (r *Relay) TicketRead(a *peer.TicketReadArgs) peer.TicketReadReply {
	name, err := ticket.Parse(a.Ticket)
	if err != nil {
		return peer.TicketReadReply{Refusal: toPeer(err)}
	}
	if name.Home != formerOf(r.fleet.Self()) {
		return r.readReceived(a)
	}
	r.mu.Lock()
	record, fresh, err := r.home.Use(time.Now(), a.Ticket, a.Account, a.Hash)
	if fresh {
		// A read never begins a run: the ticket was forgotten or never used.
		r.home.Void(a.Ticket, ticket.Voided)
		err = &ticket.RefusedError{Reason: ticket.Voided, Outcome: ticket.NotRun}
	}
	r.mu.Unlock()
	if record == nil || fresh {
		return peer.TicketReadReply{Refusal: toPeer(err)}
	}
	ctx, cancel := context.WithTimeout(context.Background(), readWait)
	defer cancel()
	part := record.Answer.Read(ctx, a.Offset, partBytes)
	reply := peer.TicketReadReply{Part: part}
	if part.Done {
		r.mu.Lock()
		_, _, err = r.home.Use(time.Now(), a.Ticket, a.Account, a.Hash)
		r.mu.Unlock()
		reply.Refusal = toPeer(err)
	}
	return reply
}

func (r *Relay) readReceived(a *peer.TicketReadArgs) peer.TicketReadReply {
	settled, err := r.received(a.Ticket, a.Account, a.Hash)
	if err != nil {
		return peer.TicketReadReply{Refusal: toPeer(err)}
	}
	from := min(a.Offset, len(settled.Answer.Bytes))
	end := min(from+partBytes, len(settled.Answer.Bytes))
	return peer.TicketReadReply{Part: ticket.Part{
		Head: settled.Answer.Head, Bytes: settled.Answer.Bytes[from:end], Done: end == len(settled.Answer.Bytes),
	}}
}

// Intent serves a home that is about to dispatch.
func (r *Relay) Intent(a *peer.TicketArgs) peer.IntentReply {
	r.mu.Lock()
	defer r.mu.Unlock()
	return peer.IntentReply{Acknowledged: r.backup.Intend(time.Now(), a.Ticket)}
}

// Attest serves a peer that can't reach a ticket's home.
func (r *Relay) Attest(a *peer.TicketArgs) peer.AttestReply {
	return peer.AttestReply{Outcome: r.attestHere(a.Ticket)}
}

// HandOver serves a host that is stopping.
func (r *Relay) HandOver(a *peer.HandOverArgs) peer.HandOverReply {
	r.mu.Lock()
	defer r.mu.Unlock()
	return peer.HandOverReply{Taken: r.successor.Adopt(time.Now(), a.Handover)}
}

const (
	handOverTime = 5 * time.Second
	// handOverBytes bounds the answers in one part of a handover.
	handOverBytes = 1 << 20
	busyPoll      = 50 * time.Millisecond
)

// Seal begins a planned stop: no ticket is issued or begun any more.
func (r *Relay) Seal() { r.locked(r.home.Seal) }

// Retire ends a planned stop. It waits until every run has ended, seals the
// host's tickets, and hands them to a successor. It returns the successor, or
// an empty name where no host took them. Ctx bounds the wait.
func (r *Relay) Retire(ctx context.Context) member.Self {
	r.Seal()
	r.awaitRuns(ctx)
	var handovers []ticket.Handover
	r.locked(func() {
		r.backup.Seal()
		handover := r.backup.HandOver()
		if r.home.Busy() == 0 {
			own := r.home.HandOver()
			handover.Records, handover.Spent, handover.Last = own.Records, own.Spent, true
		}
		handovers = append(r.successor.HandOver(), handover)
	})
	self := r.fleet.Self()
	for _, host := range member.Ranked(string(self.ID), r.fleet.Live(self.Domain)) {
		if host.ID != self.ID && r.handTo(ctx, host, handovers) {
			return host
		}
	}
	return member.Self{}
}

func (r *Relay) awaitRuns(ctx context.Context) {
	for ctx.Err() == nil {
		var busy int
		r.locked(func() { busy = r.home.Busy() })
		if busy == 0 {
			return
		}
		clock.Sleep(ctx, busyPoll)
	}
}

func (r *Relay) handTo(ctx context.Context, host member.Self, handovers []ticket.Handover) bool {
	for _, handover := range handovers {
		for _, part := range split(handover) {
			call, cancel := context.WithTimeout(ctx, handOverTime)
			var reply peer.HandOverReply
			err := r.fleet.Call(call, host, "HandOver", &peer.HandOverArgs{Handover: part}, &reply)
			cancel()
			if err != nil || !reply.Taken {
				return false
			}
		}
	}
	return true
}

// split cuts a handover into parts that fit a message. Only the last part keeps
// the mark of completeness.
func split(e ticket.Handover) []ticket.Handover {
	const tickets = 4096
	var out []ticket.Handover
	part := ticket.Handover{Of: e.Of}
	bytes := 0
	for _, r := range e.Records {
		if bytes >= handOverBytes || len(part.Records) >= tickets {
			out = append(out, part)
			part, bytes = ticket.Handover{Of: e.Of}, 0
		}
		part.Records = append(part.Records, r)
		bytes += len(r.Answer.Bytes)
	}
	for len(e.Intents) > tickets {
		out = append(out, ticket.Handover{Of: e.Of, Intents: e.Intents[:tickets]})
		e.Intents = e.Intents[tickets:]
	}
	part.Intents, part.Forgotten, part.Spent, part.Last = e.Intents, e.Forgotten, e.Spent, e.Last
	return append(out, part)
}
