package peer

import (
	"time"

	"mulberrydyke/job"
	"mulberrydyke/plan"
	"mulberrydyke/ticket"
)

// maxHandoverTickets limits the tickets in one part of a handover.
const maxHandoverTickets = 1 << 14

// Refusal is the encoding of a refusal in messages between hosts.
type Refusal struct {
	// Code is empty if there is no refusal.
	Code       string
	Outcome    ticket.Outcome
	Message    string
	RetryAfter time.Duration
}

// TicketUseArgs asks the home of a ticket to run a job at most once. It is also sent to
// the host that took over the tickets of a home that left.
type TicketUseArgs struct {
	Ticket ticket.Token
	Job    job.Job
	// Age is the time since the job arrived at its entry host.
	Age time.Duration
}

// Check returns an error if the message is not valid.
func (a *TicketUseArgs) Check() error {
	if err := a.Job.Check(); err != nil {
		return err
	}
	_, err := ticket.Parse(a.Ticket)
	return err
}

// TicketReply says whether the ticket was accepted. If not, Refusal gives the reason.
type TicketReply struct {
	Refusal Refusal
}

// TicketReadArgs requests a part of the answer to a ticket's job, from Offset on.
type TicketReadArgs struct {
	Ticket  ticket.Token
	Account plan.AccountID
	Hash    ticket.Hash
	Offset  int
}

// Check returns an error if the message is not valid.
func (a *TicketReadArgs) Check() error {
	_, err := ticket.Parse(a.Ticket)
	if err != nil {
		return err
	}
	return checkConstraints("ticket-read", constraint{a.Offset >= 0, "offset"}, constraint{isValidName(a.Account), "account"})
}

// TicketReadReply carries a part of an answer. If Part.Done is set, Refusal gives the
// result of the ticket's job.
type TicketReadReply struct {
	Part    ticket.Part
	Refusal Refusal
}

// TicketArgs names a ticket in a call of Intent or Attest.
type TicketArgs struct {
	Ticket ticket.Token
}

// Check returns an error if the message is not valid.
func (a *TicketArgs) Check() error {
	_, err := ticket.Parse(a.Ticket)
	return err
}

// IntentReply says whether the backup of a ticket recorded the intent, so that the home
// may dispatch the job.
type IntentReply struct {
	Acknowledged bool
}

// AttestReply carries the outcome of a ticket as far as the host knows it.
type AttestReply struct {
	Outcome ticket.Outcome
}

// HandOverArgs carries a part of the tickets of a host that is stopping.
type HandOverArgs struct {
	Handover ticket.Handover
}

// Check returns an error if the message is not valid.
func (a *HandOverArgs) Check() error {
	n := len(a.Handover.Records) + len(a.Handover.Intents)
	return checkConstraints("hand-over", constraint{isValidName(a.Handover.Of.Host), "host"}, constraint{n <= maxHandoverTickets, "tickets"})
}

// HandOverReply says whether the part was accepted.
type HandOverReply struct {
	Taken bool
}
