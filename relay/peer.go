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

// TicketUse handles a request under a ticket that a peer forwards. It starts the
// run if the ticket is new, and does not wait for the answer. For a ticket of
// another home it only looks for a handover.
func (r *Relay) TicketUse(args *peer.TicketUseArgs) peer.TicketReply {
	claims, err := ticket.Parse(args.Ticket)
	if err != nil {
		return peer.TicketReply{Refusal: toPeerRefusal(refusal.New(refusal.TicketInvalid, err.Error()))}
	}
	if claims.Home != incarnationOf(r.fleet.Self()) {
		_, err := r.lookUpHandover(args.Ticket, args.Job.Account, args.Job.TicketHash())
		return peer.TicketReply{Refusal: toPeerRefusal(err)}
	}
	_, err = r.useLocal(args.Ticket, &args.Job, time.Now().Add(-args.Age))
	return peer.TicketReply{Refusal: toPeerRefusal(err)}
}

// lookUpHandover returns the record of a ticket from a handover that this host
// holds.
func (r *Relay) lookUpHandover(t ticket.Token, account plan.AccountID, hash ticket.Hash) (ticket.Settled, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.successor.Use(t, account, hash)
}

// TicketRead handles a peer's request for the next part of a ticket's answer.
func (r *Relay) TicketRead(args *peer.TicketReadArgs) peer.TicketReadReply {
	claims, err := ticket.Parse(args.Ticket)
	if err != nil {
		return peer.TicketReadReply{Refusal: toPeerRefusal(err)}
	}
	if claims.Home != incarnationOf(r.fleet.Self()) {
		return r.readHandover(args)
	}
	r.mu.Lock()
	record, isNew, err := r.home.Use(time.Now(), args.Ticket, args.Account, args.Hash)
	if isNew {
		// A read never starts a run: the ticket was never used, or its record
		// was removed.
		r.home.Void(args.Ticket, ticket.Voided)
		err = &ticket.RefusedError{Reason: ticket.Voided, Outcome: ticket.NotRun}
	}
	r.mu.Unlock()
	if record == nil || isNew {
		return peer.TicketReadReply{Refusal: toPeerRefusal(err)}
	}
	ctx, cancel := context.WithTimeout(context.Background(), readPollTimeout)
	defer cancel()
	part := record.Answer.Read(ctx, args.Offset, maxPartBytes)
	reply := peer.TicketReadReply{Part: part}
	if part.Done {
		r.mu.Lock()
		_, _, err = r.home.Use(time.Now(), args.Ticket, args.Account, args.Hash)
		r.mu.Unlock()
		reply.Refusal = toPeerRefusal(err)
	}
	return reply
}

// readHandover returns a part of an answer from a handover that this host holds.
func (r *Relay) readHandover(args *peer.TicketReadArgs) peer.TicketReadReply {
	settled, err := r.lookUpHandover(args.Ticket, args.Account, args.Hash)
	if err != nil {
		return peer.TicketReadReply{Refusal: toPeerRefusal(err)}
	}
	start := min(args.Offset, len(settled.Answer.Bytes))
	end := min(start+maxPartBytes, len(settled.Answer.Bytes))
	return peer.TicketReadReply{Part: ticket.Part{
		Head: settled.Answer.Head, Bytes: settled.Answer.Bytes[start:end], Done: end == len(settled.Answer.Bytes),
	}}
}

// Intent handles the call of a ticket's home that is about to dispatch the
// ticket, of which this host is the backup.
func (r *Relay) Intent(args *peer.TicketArgs) peer.IntentReply {
	r.mu.Lock()
	defer r.mu.Unlock()
	return peer.IntentReply{Acknowledged: r.backup.RecordIntent(time.Now(), args.Ticket)}
}

// Attest handles the call of a peer that can't reach a ticket's home and asks
// whether the request ran.
func (r *Relay) Attest(args *peer.TicketArgs) peer.AttestReply {
	return peer.AttestReply{Outcome: r.attestLocal(args.Ticket)}
}

// HandOver accepts the tickets of a host that is stopping.
func (r *Relay) HandOver(args *peer.HandOverArgs) peer.HandOverReply {
	r.mu.Lock()
	defer r.mu.Unlock()
	return peer.HandOverReply{Taken: r.successor.Accept(time.Now(), args.Handover)}
}

const (
	handOverTimeout = 5 * time.Second
	// maxPartAnswerBytes is the total size of the answers in a part of a handover
	// at which no further record is added to the part.
	maxPartAnswerBytes = 1 << 20
	drainPollInterval  = 50 * time.Millisecond
)

// Seal begins a planned stop: from then on the host issues no tickets and starts
// no requests under tickets.
func (r *Relay) Seal() { r.withLock(r.home.Seal) }

// DrainAndHandOver ends a planned stop. It seals the home, waits until every run
// has ended or ctx is done, seals the backup, and hands the tickets over to a
// successor. The home's records are handed over only if every run has ended. It
// returns the successor, or the zero value if no host accepted the tickets.
func (r *Relay) DrainAndHandOver(ctx context.Context) member.Identity {
	r.Seal()
	r.waitForRuns(ctx)
	var handovers []ticket.Handover
	r.withLock(func() {
		r.backup.Seal()
		handover := r.backup.HandOver()
		if r.home.InProgress() == 0 {
			homeState := r.home.HandOver()
			handover.Records, handover.Spent, handover.Last = homeState.Records, homeState.Spent, true
		}
		handovers = append(r.successor.HandOver(), handover)
	})
	self := r.fleet.Self()
	for _, host := range member.RankByRendezvous(string(self.ID), r.fleet.Live(self.Domain)) {
		if host.ID != self.ID && r.sendHandovers(ctx, host, handovers) {
			return host
		}
	}
	return member.Identity{}
}

// waitForRuns waits until no ticket is in progress or ctx is done.
func (r *Relay) waitForRuns(ctx context.Context) {
	for ctx.Err() == nil {
		var inProgress int
		r.withLock(func() { inProgress = r.home.InProgress() })
		if inProgress == 0 {
			return
		}
		clock.Sleep(ctx, drainPollInterval)
	}
}

// sendHandovers sends the handovers to a host in parts. It returns false if a
// call fails or the host does not accept a part.
func (r *Relay) sendHandovers(ctx context.Context, host member.Identity, handovers []ticket.Handover) bool {
	for _, handover := range handovers {
		for _, part := range splitHandover(handover) {
			callCtx, cancel := context.WithTimeout(ctx, handOverTimeout)
			var reply peer.HandOverReply
			err := r.fleet.Call(callCtx, host, "HandOver", &peer.HandOverArgs{Handover: part}, &reply)
			cancel()
			if err != nil || !reply.Taken {
				return false
			}
		}
	}
	return true
}

// splitHandover splits a handover into parts that fit into one message each.
// Only the last part may have Last set.
func splitHandover(handover ticket.Handover) []ticket.Handover {
	const maxPartTickets = 4096
	var parts []ticket.Handover
	part := ticket.Handover{Of: handover.Of}
	answerBytes := 0
	for _, r := range handover.Records {
		if answerBytes >= maxPartAnswerBytes || len(part.Records) >= maxPartTickets {
			parts = append(parts, part)
			part, answerBytes = ticket.Handover{Of: handover.Of}, 0
		}
		part.Records = append(part.Records, r)
		answerBytes += len(r.Answer.Bytes)
	}
	for len(handover.Intents) > maxPartTickets {
		parts = append(parts, ticket.Handover{Of: handover.Of, Intents: handover.Intents[:maxPartTickets]})
		handover.Intents = handover.Intents[maxPartTickets:]
	}
	part.Intents, part.Forgotten, part.Spent, part.Last = handover.Intents, handover.Forgotten, handover.Spent, handover.Last
	return append(parts, part)
}
