package relay

import (
	"context"
	"errors"
	"time"

	"mulberrydyke/clock"
	"mulberrydyke/job"
	"mulberrydyke/member"
	"mulberrydyke/peer"
	"mulberrydyke/plan"
	"mulberrydyke/refusal"
	"mulberrydyke/ticket"
)

const (
	useTime = 3 * time.Second
	// readWait is how long a home holds a read back for more bytes.
	readWait = time.Second
	readTime = 3 * time.Second
	// partBytes bounds one part of an answer.
	partBytes = 256 << 10
	// reachTries is how often a home is tried before its backup is asked.
	reachTries = 3
	reachPause = 300 * time.Millisecond
)

// Use runs a job under a ticket, or takes up what the ticket already did, and
// writes the whole answer to out. It fails with a refusal whose outcome is
// true.
func (r *Relay) Use(ctx context.Context, t ticket.Token, j *job.Job, arrived time.Time, out job.Output) error {
	name, err := ticket.Parse(t)
	if err != nil {
		return refusal.New(refusal.TicketInvalid, err.Error())
	}
	if name.Home == formerOf(r.fleet.Self()) {
		record, err := r.begin(t, j, arrived)
		if err != nil {
			return refusal.Of(err)
		}
		return r.copyLocal(ctx, record, j, out)
	}
	return r.useRemote(ctx, name, t, j, arrived, out)
}

// copyLocal copies the answer of a ticket of this home.
func (r *Relay) copyLocal(ctx context.Context, record *ticket.Record, j *job.Job, out job.Output) error {
	read := func(offset int) (ticket.Part, error) {
		part := record.Answer.Read(ctx, offset, partBytes)
		if part.Done {
			return part, r.ending(record.Token, j)
		}
		return part, ctx.Err()
	}
	return copyParts(read, out)
}

// ending says how a ticket of this home ended.
func (r *Relay) ending(t ticket.Token, j *job.Job) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _, err := r.home.Use(time.Now(), t, j.Account, j.Hash())
	if err != nil {
		return refusal.Of(err)
	}
	return nil
}

// copyParts copies parts until the last one. An error of the last part is
// returned after its bytes were written.
func copyParts(read func(offset int) (ticket.Part, error), out job.Output) error {
	offset, began := 0, false
	for {
		part, err := read(offset)
		if len(part.Bytes) > 0 && !began {
			out.Begin(part.Head)
			began = true
		}
		if len(part.Bytes) > 0 {
			if _, err := out.Write(part.Bytes); err != nil {
				return refusal.New(refusal.CallerGone, err.Error())
			}
		}
		if err != nil {
			return err
		}
		if part.Done {
			if !began {
				out.Begin(part.Head)
			}
			return nil
		}
		offset += len(part.Bytes)
	}
}

// errGone says that a ticket's home is no more.
var errGone = errors.New("the home of the ticket is gone")

// useRemote brings a ticket to its home, to who received from it, or asks its
// backup what became of it.
func (r *Relay) useRemote(ctx context.Context, name ticket.Name, t ticket.Token, j *job.Job, arrived time.Time, out job.Output) error {
	counted := &countedOutput{Output: out}
	if host, ok := r.fleet.Find(name.Home.Host); ok {
		err := r.useAt(ctx, host.Self, t, j, arrived, counted)
		if !errors.Is(err, errGone) {
			return err
		}
	}
	if successor, ok := r.fleet.Successor(name.Home); ok {
		err := r.useSuccessor(ctx, successor, t, j, arrived, &restOutput{countedOutput: counted, skip: counted.written})
		if !errors.Is(err, errGone) {
			return err
		}
	}
	outcome := r.attest(ctx, name, t)
	if outcome == ticket.NotRun && !counted.began {
		return refusal.New(refusal.TicketVoid, "the home of the ticket can't be reached; its backup has closed the ticket")
	}
	return refusal.New(refusal.HomeGone, "the home of the ticket can't be reached")
}

// countedOutput remembers what has reached the caller.
type countedOutput struct {
	job.Output
	began   bool
	written int
}

// Write passes bytes on.
func (c *countedOutput) Write(p []byte) (int, error) {
	n, err := c.Output.Write(p)
	c.written += n
	return n, err
}

// restOutput passes on what follows the bytes that the caller already has. The
// whole answer is written to it.
type restOutput struct {
	*countedOutput
	skip int
}

// Begin starts the answer unless the caller already has its head.
func (r *restOutput) Begin(h ticket.Head) {
	if !r.began {
		r.countedOutput.Begin(h)
	}
}

// Write passes on the bytes that the caller doesn't have.
func (r *restOutput) Write(p []byte) (int, error) {
	known := min(r.skip, len(p))
	r.skip -= known
	if known == len(p) {
		return known, nil
	}
	n, err := r.countedOutput.Write(p[known:])
	return known + n, err
}

// Begin starts the answer.
func (c *countedOutput) Begin(h ticket.Head) {
	c.began = true
	c.Output.Begin(h)
}

// useAt uses a ticket at another host. It fails with errGone where that host
// can't be reached or is not the ticket's home any more.
func (r *Relay) useAt(ctx context.Context, host member.Self, t ticket.Token, j *job.Job, arrived time.Time, out job.Output) error {
	args := &peer.TicketUseArgs{Ticket: t, Job: *j, Age: time.Since(arrived)}
	var reply peer.TicketReply
	if err := r.reach(ctx, host, "TicketUse", args, &reply); err != nil {
		return err
	}
	if err := fromPeer(reply.Refusal); err != nil {
		if err.Code == refusal.HomeGone {
			return errGone
		}
		return err
	}
	read := func(offset int) (ticket.Part, error) {
		args := &peer.TicketReadArgs{Ticket: t, Account: j.Account, Hash: j.Hash(), Offset: offset}
		var reply peer.TicketReadReply
		if err := r.reach(ctx, host, "TicketRead", args, &reply); err != nil {
			return ticket.Part{}, err
		}
		if err := fromPeer(reply.Refusal); err != nil {
			if err.Code == refusal.HomeGone {
				return reply.Part, errGone
			}
			return reply.Part, err
		}
		return reply.Part, nil
	}
	return copyParts(read, out)
}

// useSuccessor asks who received from a ticket's home.
func (r *Relay) useSuccessor(ctx context.Context, successor member.Former, t ticket.Token, j *job.Job, arrived time.Time, out job.Output) error {
	if successor == formerOf(r.fleet.Self()) {
		return r.useReceived(t, j, out)
	}
	host, ok := r.fleet.Find(successor.Host)
	if !ok || host.Self.Incarnation != successor.Incarnation {
		return errGone
	}
	return r.useAt(ctx, host.Self, t, j, arrived, out)
}

// useReceived answers a ticket from a handover that this host holds.
func (r *Relay) useReceived(t ticket.Token, j *job.Job, out job.Output) error {
	r.mu.Lock()
	settled, err := r.successor.Use(t, j.Account, j.Hash())
	r.mu.Unlock()
	if err != nil {
		e := refusal.Of(err)
		if e.Code == refusal.HomeGone {
			return errGone
		}
		return e
	}
	out.Begin(settled.Answer.Head)
	if _, err := out.Write(settled.Answer.Bytes); err != nil {
		return refusal.New(refusal.CallerGone, err.Error())
	}
	return nil
}

// reach calls a host and tries again where the link broke or the host refused,
// as one does that is starting. What it calls may be repeated.
func (r *Relay) reach(ctx context.Context, host member.Self, method string, args, reply any) error {
	for range reachTries {
		call, cancel := context.WithTimeout(ctx, max(useTime, readTime))
		err := r.fleet.Call(call, host, method, args, reply)
		cancel()
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return refusal.New(refusal.CallerGone, ctx.Err().Error())
		}
		clock.Sleep(ctx, reachPause)
	}
	return errGone
}

// attest asks a ticket's backup, or who received from it, what became of the
// ticket.
func (r *Relay) attest(ctx context.Context, name ticket.Name, t ticket.Token) ticket.Outcome {
	if name.Backup.Host == "" {
		return ticket.Unknown
	}
	if name.Backup.Host == r.fleet.Self().ID {
		return r.attestHere(t)
	}
	if outcome := r.attestAt(ctx, name.Backup.Host, t); outcome == ticket.NotRun {
		return outcome
	}
	if successor, ok := r.fleet.Successor(name.Backup); ok {
		if successor == formerOf(r.fleet.Self()) {
			return r.attestHere(t)
		}
		return r.attestAt(ctx, successor.Host, t)
	}
	return ticket.Unknown
}

func (r *Relay) attestAt(ctx context.Context, id plan.HostID, t ticket.Token) ticket.Outcome {
	host, ok := r.fleet.Find(id)
	if !ok {
		return ticket.Unknown
	}
	var reply peer.AttestReply
	if err := r.reach(ctx, host.Self, "Attest", &peer.TicketArgs{Ticket: t}, &reply); err != nil {
		return ticket.Unknown
	}
	return reply.Outcome
}

// attestHere answers as backup, or as successor of a backup that left.
func (r *Relay) attestHere(t ticket.Token) ticket.Outcome {
	name, err := ticket.Parse(t)
	if err != nil {
		return ticket.Unknown
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if name.Backup == formerOf(r.fleet.Self()) {
		return r.backup.Attest(time.Now(), t)
	}
	return r.successor.Attest(t)
}

func fromPeer(r peer.Refusal) *refusal.Error {
	if r.Code == "" {
		return nil
	}
	return &refusal.Error{Code: refusal.Code(r.Code), Outcome: r.Outcome, Message: r.Message, RetryAfter: r.RetryAfter}
}

func toPeer(err error) peer.Refusal {
	if err == nil {
		return peer.Refusal{}
	}
	if errors.Is(err, errGone) {
		err = refusal.New(refusal.HomeGone, err.Error())
	}
	e := refusal.Of(err)
	return peer.Refusal{Code: string(e.Code), Outcome: e.Outcome, Message: e.Message, RetryAfter: e.RetryAfter}
}
