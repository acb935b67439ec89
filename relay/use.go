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
	useTimeout = 3 * time.Second
	// readPollTimeout is how long a read waits at the home for more bytes.
	readPollTimeout = time.Second
	readTimeout     = 3 * time.Second
	// maxPartBytes limits the size of one part of an answer.
	maxPartBytes = 256 << 10
	// maxCallAttempts is how often a host is called before it counts as
	// unreachable. After that many calls to a home, its successor or its backup
	// is asked.
	maxCallAttempts = 3
	callRetryDelay  = 300 * time.Millisecond
)

// Use runs a job under a ticket, or attaches to the run that the ticket was
// already used for, and writes the complete answer to out. The error is a
// refusal or, once ctx is done, possibly ctx.Err(). The outcome of a refusal is
// reliable: it is NotRun only if the request did not run and never will under
// this ticket.
func (r *Relay) Use(ctx context.Context, t ticket.Token, j *job.Job, arrived time.Time, out job.Output) error {
	claims, err := ticket.Parse(t)
	if err != nil {
		return refusal.New(refusal.TicketInvalid, err.Error())
	}
	if claims.Home == incarnationOf(r.fleet.Self()) {
		record, err := r.useLocal(t, j, arrived)
		if err != nil {
			return refusal.FromError(err)
		}
		return r.copyLocal(ctx, record, j, out)
	}
	return r.useRemote(ctx, claims, t, j, arrived, out)
}

// copyLocal copies the answer of a ticket whose home is this host.
func (r *Relay) copyLocal(ctx context.Context, record *ticket.Record, j *job.Job, out job.Output) error {
	read := func(offset int) (ticket.Part, error) {
		part := record.Answer.Read(ctx, offset, maxPartBytes)
		if part.Done {
			return part, r.finalError(record.Token, j)
		}
		return part, ctx.Err()
	}
	return copyParts(read, out)
}

// finalError returns the error with which the run of a ticket of this home
// ended, or nil.
func (r *Relay) finalError(t ticket.Token, j *job.Job) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _, err := r.home.Use(time.Now(), t, j.Account, j.TicketHash())
	if err != nil {
		return refusal.FromError(err)
	}
	return nil
}

// copyParts reads parts of an answer and writes them to out, until the last part
// or an error. The bytes of a part that comes with an error are written first.
func copyParts(read func(offset int) (ticket.Part, error), out job.Output) error {
	offset, headWritten := 0, false
	for {
		part, err := read(offset)
		if len(part.Bytes) > 0 && !headWritten {
			out.Begin(part.Head)
			headWritten = true
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
			if !headWritten {
				out.Begin(part.Head)
			}
			return nil
		}
		offset += len(part.Bytes)
	}
}

// errHomeGone means that a ticket's home has left or can't be reached.
var errHomeGone = errors.New("the home of the ticket is gone")

// useRemote uses a ticket at its home, or at the successor of a home that left.
// If neither answers, it asks the backup for the outcome and returns a refusal.
func (r *Relay) useRemote(ctx context.Context, claims ticket.Claims, t ticket.Token, j *job.Job, arrived time.Time, out job.Output) error {
	counting := &countingOutput{Output: out}
	if host, ok := r.fleet.Find(claims.Home.Host); ok {
		err := r.useAtHost(ctx, host.Identity, t, j, arrived, counting)
		if !errors.Is(err, errHomeGone) {
			return err
		}
	}
	if successor, ok := r.fleet.Successor(claims.Home); ok {
		err := r.useSuccessor(ctx, successor, t, j, arrived, &resumingOutput{countingOutput: counting, skip: counting.written})
		if !errors.Is(err, errHomeGone) {
			return err
		}
	}
	outcome := r.requestOutcome(ctx, claims, t)
	if outcome == ticket.NotRun && !counting.headWritten {
		return refusal.New(refusal.TicketVoid, "the home of the ticket can't be reached; its backup has closed the ticket")
	}
	return refusal.New(refusal.TicketHomeGone, "the home of the ticket can't be reached")
}

// countingOutput records how much of the answer was written to the caller.
type countingOutput struct {
	job.Output
	headWritten bool
	written     int
}

// Write writes p to the caller and counts the bytes.
func (c *countingOutput) Write(p []byte) (int, error) {
	n, err := c.Output.Write(p)
	c.written += n
	return n, err
}

// resumingOutput receives the complete answer from its start and skips the bytes
// that the caller already has.
type resumingOutput struct {
	*countingOutput
	skip int
}

// Begin writes the head unless the caller already has it.
func (r *resumingOutput) Begin(h ticket.Head) {
	if !r.headWritten {
		r.countingOutput.Begin(h)
	}
}

// Write writes the bytes of p that the caller doesn't have yet.
func (r *resumingOutput) Write(p []byte) (int, error) {
	skipped := min(r.skip, len(p))
	r.skip -= skipped
	if skipped == len(p) {
		return skipped, nil
	}
	n, err := r.countingOutput.Write(p[skipped:])
	return skipped + n, err
}

// Begin writes the head to the caller.
func (c *countingOutput) Begin(h ticket.Head) {
	c.headWritten = true
	c.Output.Begin(h)
}

// useAtHost uses a ticket at another host. It returns errHomeGone if that host
// can't be reached, or is not the ticket's home and holds no handover of it.
func (r *Relay) useAtHost(ctx context.Context, host member.Identity, t ticket.Token, j *job.Job, arrived time.Time, out job.Output) error {
	args := &peer.TicketUseArgs{Ticket: t, Job: *j, Age: time.Since(arrived)}
	var reply peer.TicketReply
	if err := r.callWithRetry(ctx, host, "TicketUse", args, &reply); err != nil {
		return err
	}
	if err := fromPeerRefusal(reply.Refusal); err != nil {
		if err.Code == refusal.TicketHomeGone {
			return errHomeGone
		}
		return err
	}
	read := func(offset int) (ticket.Part, error) {
		args := &peer.TicketReadArgs{Ticket: t, Account: j.Account, Hash: j.TicketHash(), Offset: offset}
		var reply peer.TicketReadReply
		if err := r.callWithRetry(ctx, host, "TicketRead", args, &reply); err != nil {
			return ticket.Part{}, err
		}
		if err := fromPeerRefusal(reply.Refusal); err != nil {
			if err.Code == refusal.TicketHomeGone {
				return reply.Part, errHomeGone
			}
			return reply.Part, err
		}
		return reply.Part, nil
	}
	return copyParts(read, out)
}

// useSuccessor uses a ticket at the successor of its home.
func (r *Relay) useSuccessor(ctx context.Context, successor member.HostIncarnation, t ticket.Token, j *job.Job, arrived time.Time, out job.Output) error {
	if successor == incarnationOf(r.fleet.Self()) {
		return r.useHandover(t, j, out)
	}
	host, ok := r.fleet.Find(successor.Host)
	if !ok || host.Identity.Incarnation != successor.Incarnation {
		return errHomeGone
	}
	return r.useAtHost(ctx, host.Identity, t, j, arrived, out)
}

// useHandover answers a request under a ticket from a handover that this host
// holds.
func (r *Relay) useHandover(t ticket.Token, j *job.Job, out job.Output) error {
	r.mu.Lock()
	settled, err := r.successor.Use(t, j.Account, j.TicketHash())
	r.mu.Unlock()
	if err != nil {
		refused := refusal.FromError(err)
		if refused.Code == refusal.TicketHomeGone {
			return errHomeGone
		}
		return refused
	}
	out.Begin(settled.Answer.Head)
	if _, err := out.Write(settled.Answer.Bytes); err != nil {
		return refusal.New(refusal.CallerGone, err.Error())
	}
	return nil
}

// callWithRetry calls a host and retries if the connection breaks or the host
// refuses the call, as it does while it starts. The method must be idempotent.
func (r *Relay) callWithRetry(ctx context.Context, host member.Identity, method string, args, reply any) error {
	for range maxCallAttempts {
		callCtx, cancel := context.WithTimeout(ctx, max(useTimeout, readTimeout))
		err := r.fleet.Call(callCtx, host, method, args, reply)
		cancel()
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return refusal.New(refusal.CallerGone, ctx.Err().Error())
		}
		clock.Sleep(ctx, callRetryDelay)
	}
	return errHomeGone
}

// requestOutcome asks a ticket's backup, or the successor of a backup that left,
// whether the request ran.
func (r *Relay) requestOutcome(ctx context.Context, claims ticket.Claims, t ticket.Token) ticket.Outcome {
	if claims.Backup.Host == "" {
		return ticket.Unknown
	}
	if claims.Backup.Host == r.fleet.Self().ID {
		return r.attestLocal(t)
	}
	if outcome := r.attestAtHost(ctx, claims.Backup.Host, t); outcome == ticket.NotRun {
		return outcome
	}
	if successor, ok := r.fleet.Successor(claims.Backup); ok {
		if successor == incarnationOf(r.fleet.Self()) {
			return r.attestLocal(t)
		}
		return r.attestAtHost(ctx, successor.Host, t)
	}
	return ticket.Unknown
}

// attestAtHost asks another host for the outcome of a ticket.
func (r *Relay) attestAtHost(ctx context.Context, id plan.HostID, t ticket.Token) ticket.Outcome {
	host, ok := r.fleet.Find(id)
	if !ok {
		return ticket.Unknown
	}
	var reply peer.AttestReply
	if err := r.callWithRetry(ctx, host.Identity, "Attest", &peer.TicketArgs{Ticket: t}, &reply); err != nil {
		return ticket.Unknown
	}
	return reply.Outcome
}

// attestLocal returns the outcome of a ticket as its backup, or as the successor
// of a backup that left.
func (r *Relay) attestLocal(t ticket.Token) ticket.Outcome {
	claims, err := ticket.Parse(t)
	if err != nil {
		return ticket.Unknown
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if claims.Backup == incarnationOf(r.fleet.Self()) {
		return r.backup.Attest(time.Now(), t)
	}
	return r.successor.Attest(t)
}

// fromPeerRefusal converts a peer's refusal to an error. It returns nil if there
// is none.
func fromPeerRefusal(refused peer.Refusal) *refusal.Error {
	if refused.Code == "" {
		return nil
	}
	return &refusal.Error{Code: refusal.Code(refused.Code), Outcome: refused.Outcome, Message: refused.Message, RetryAfter: refused.RetryAfter}
}

// toPeerRefusal converts an error to the refusal that is sent to a peer. It
// returns the zero value for nil.
func toPeerRefusal(err error) peer.Refusal {
	if err == nil {
		return peer.Refusal{}
	}
	if errors.Is(err, errHomeGone) {
		err = refusal.New(refusal.TicketHomeGone, err.Error())
	}
	refused := refusal.FromError(err)
	return peer.Refusal{Code: string(refused.Code), Outcome: refused.Outcome, Message: refused.Message, RetryAfter: refused.RetryAfter}
}
