package peer

import (
	"time"

	"mulberrydyke/job"
	"mulberrydyke/plan"
	"mulberrydyke/ticket"
)

// handoverMost bounds the tickets of one part of a handover.
const handoverMost = 1 << 14

// Refusal is an error in the form in which hosts pass it on.
type Refusal struct {
	// Code is empty where there is no refusal.
	Code       string
	Outcome    ticket.Outcome
	Message    string
	RetryAfter time.Duration
}

// TicketUseArgs asks a ticket's home, or who received from it, to run a job
// once.
type TicketUseArgs struct {
	Ticket ticket.Token
	Job    job.Job
	// Age is how long ago the job arrived.
	Age time.Duration
}

// Check reports a message that is not valid.
func (a *TicketUseArgs) Check() error {
	if err := a.Job.Check(); err != nil {
		return err
	}
	_, err := ticket.Parse(a.Ticket)
	return err
}

// TicketReply says whether a ticket was taken.
type TicketReply struct {
	Refusal Refusal
}

// TicketReadArgs asks for a part of a ticket's answer.
type TicketReadArgs struct {
	Ticket  ticket.Token
	Account plan.AccountID
	Hash    ticket.Hash
	Offset  int
}

// Check reports a message that is not valid.
func (a *TicketReadArgs) Check() error {
	_, err := ticket.Parse(a.Ticket)
	if err != nil {
		return err
	}
	return checkAll("ticket-read", rule{a.Offset >= 0, "offset"}, rule{isName(a.Account), "account"})
}

// TicketReadReply carries a part of an answer. With Done, Refusal says how the
// ticket ended.
type TicketReadReply struct {
	Part    ticket.Part
	Refusal Refusal
}

// TicketArgs names a ticket, for an intent or a question to its backup.
type TicketArgs struct {
	Ticket ticket.Token
}

// Check reports a message that is not valid.
func (a *TicketArgs) Check() error {
	_, err := ticket.Parse(a.Ticket)
	return err
}

// IntentReply says whether a home may dispatch.
type IntentReply struct {
	Acknowledged bool
}

// AttestReply says what became of a ticket.
type AttestReply struct {
	Outcome ticket.Outcome
}

// HandOverArgs carries a part of the handover of a host that is stopping.
type HandOverArgs struct {
	Handover ticket.Handover
}

// Check reports a message that is not valid.
func (a *HandOverArgs) Check() error {
	n := len(a.Handover.Records) + len(a.Handover.Intents)
	return checkAll("hand-over", rule{isName(a.Handover.Of.Host), "host"}, rule{n <= handoverMost, "tickets"})
}

// HandOverReply says whether the part was taken.
type HandOverReply struct {
	Taken bool
}
