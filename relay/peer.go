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
func (d *Desk) TicketUse(a *peer.TicketUseArgs) peer.TicketReply {
	name, err := ticket.Parse(a.Ticket)
	if err != nil {
		return peer.TicketReply{Refusal: toPeer(refusal.New(refusal.TicketInvalid, err.Error()))}
	}
	if name.Home != formerOf(d.fleet.Self()) {
		_, err := d.inherited(a.Ticket, a.Job.Account, a.Job.Hash())
		return peer.TicketReply{Refusal: toPeer(err)}
	}
	_, err = d.begin(a.Ticket, &a.Job, time.Now().Add(-a.Age))
	return peer.TicketReply{Refusal: toPeer(err)}
}

func (d *Desk) inherited(t ticket.Token, account plan.AccountID, hash ticket.Hash) (ticket.Settled, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.heir.Use(t, account, hash)
}

// TicketRead serves a peer that reads a ticket's answer.
func (d *Desk) TicketRead(a *peer.TicketReadArgs) peer.TicketReadReply {
	name, err := ticket.Parse(a.Ticket)
	if err != nil {
		return peer.TicketReadReply{Refusal: toPeer(err)}
	}
	if name.Home != formerOf(d.fleet.Self()) {
		return d.readEstate(a)
	}
	d.mu.Lock()
	record, fresh, err := d.home.Use(time.Now(), a.Ticket, a.Account, a.Hash)
	if fresh {
		// A read never begins a run: the ticket was forgotten or never used.
		d.home.Void(a.Ticket, ticket.Voided)
		err = &ticket.RefusedError{Reason: ticket.Voided, Outcome: ticket.NotRun}
	}
	d.mu.Unlock()
	if record == nil || fresh {
		return peer.TicketReadReply{Refusal: toPeer(err)}
	}
	ctx, cancel := context.WithTimeout(context.Background(), readWait)
	defer cancel()
	part := record.Answer.Read(ctx, a.Offset, partBytes)
	reply := peer.TicketReadReply{Part: part}
	if part.Done {
		d.mu.Lock()
		_, _, err = d.home.Use(time.Now(), a.Ticket, a.Account, a.Hash)
		d.mu.Unlock()
		reply.Refusal = toPeer(err)
	}
	return reply
}

func (d *Desk) readEstate(a *peer.TicketReadArgs) peer.TicketReadReply {
	settled, err := d.inherited(a.Ticket, a.Account, a.Hash)
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
func (d *Desk) Intent(a *peer.TicketArgs) peer.IntentReply {
	d.mu.Lock()
	defer d.mu.Unlock()
	return peer.IntentReply{Acknowledged: d.backup.Intend(time.Now(), a.Ticket)}
}

// Attest serves a peer that can't reach a ticket's home.
func (d *Desk) Attest(a *peer.TicketArgs) peer.AttestReply {
	return peer.AttestReply{Outcome: d.attestHere(a.Ticket)}
}

// HandOver serves a host that is stopping.
func (d *Desk) HandOver(a *peer.HandOverArgs) peer.HandOverReply {
	d.mu.Lock()
	defer d.mu.Unlock()
	return peer.HandOverReply{Taken: d.heir.Adopt(time.Now(), a.Estate)}
}

const (
	handOverTime = 5 * time.Second
	// handOverBytes bounds the answers in one part of an estate.
	handOverBytes = 1 << 20
	busyPoll      = 50 * time.Millisecond
)

// Seal begins a planned stop: no ticket is issued or begun any more.
func (d *Desk) Seal() { d.locked(d.home.Seal) }

// Retire ends a planned stop. It waits until every run has ended, seals the
// host's tickets, and hands them to a successor. It returns the successor, or
// an empty name where no host took them. Ctx bounds the wait.
func (d *Desk) Retire(ctx context.Context) member.Self {
	d.Seal()
	d.awaitRuns(ctx)
	var estates []ticket.Estate
	d.locked(func() {
		d.backup.Seal()
		estate := d.backup.HandOver()
		if d.home.Busy() == 0 {
			own := d.home.HandOver()
			estate.Records, estate.Spent, estate.Last = own.Records, own.Spent, true
		}
		estates = append(d.heir.HandOver(), estate)
	})
	self := d.fleet.Self()
	for _, host := range member.Ranked(string(self.ID), d.fleet.Live(self.Domain)) {
		if host.ID != self.ID && d.handTo(ctx, host, estates) {
			return host
		}
	}
	return member.Self{}
}

func (d *Desk) awaitRuns(ctx context.Context) {
	for ctx.Err() == nil {
		var busy int
		d.locked(func() { busy = d.home.Busy() })
		if busy == 0 {
			return
		}
		clock.Pause(ctx, busyPoll)
	}
}

func (d *Desk) handTo(ctx context.Context, host member.Self, estates []ticket.Estate) bool {
	for _, estate := range estates {
		for _, part := range split(estate) {
			call, cancel := context.WithTimeout(ctx, handOverTime)
			var reply peer.HandOverReply
			err := d.fleet.Call(call, host, "HandOver", &peer.HandOverArgs{Estate: part}, &reply)
			cancel()
			if err != nil || !reply.Taken {
				return false
			}
		}
	}
	return true
}

// split cuts an estate into parts that fit a message. Only the last part keeps
// the mark of completeness.
func split(e ticket.Estate) []ticket.Estate {
	const tickets = 4096
	var out []ticket.Estate
	part := ticket.Estate{Of: e.Of}
	bytes := 0
	for _, r := range e.Records {
		if bytes >= handOverBytes || len(part.Records) >= tickets {
			out = append(out, part)
			part, bytes = ticket.Estate{Of: e.Of}, 0
		}
		part.Records = append(part.Records, r)
		bytes += len(r.Answer.Bytes)
	}
	for len(e.Intents) > tickets {
		out = append(out, ticket.Estate{Of: e.Of, Intents: e.Intents[:tickets]})
		e.Intents = e.Intents[tickets:]
	}
	part.Intents, part.Forgotten, part.Spent, part.Last = e.Intents, e.Forgotten, e.Spent, e.Last
	return append(out, part)
}
