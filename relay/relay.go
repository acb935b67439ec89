// Package relay executes requests under tickets across hosts. A Relay acts as
// home for the tickets that its host issued, as backup for tickets of other
// hosts, and as successor of hosts that stopped. It forwards requests under any
// other ticket to that ticket's home, so callers may send a ticket to any host.
package relay

import (
	"context"
	"sync"
	"time"

	"mulberrydyke/job"
	"mulberrydyke/member"
	"mulberrydyke/peer"
	"mulberrydyke/plan"
	"mulberrydyke/refusal"
	"mulberrydyke/runner"
	"mulberrydyke/ticket"
)

const (
	// maxTickets limits the tickets that a home or a backup holds.
	maxTickets     = 1 << 16
	expireInterval = 5 * time.Second
	intentTimeout  = 2 * time.Second
)

// Fleet gives access to the other hosts.
type Fleet interface {
	// Self returns this host.
	Self() member.Identity
	// Live returns the live hosts of a failure domain, including this one.
	Live(domain plan.DomainID) []member.Identity
	// Find returns the host with the given ID, and false if it is not known.
	Find(id plan.HostID) (member.Host, bool)
	// Successor returns the incarnation that holds the handover of one that
	// left, and false if it is not known.
	Successor(member.HostIncarnation) (member.HostIncarnation, bool)
	// Call makes a remote procedure call to a host.
	Call(ctx context.Context, host member.Identity, method string, args, reply any) error
}

// RunFunc runs a job. It calls guard before the job is dispatched, and does not
// dispatch it if guard returns an error.
type RunFunc func(ctx context.Context, j *job.Job, arrived time.Time, guard runner.Guard, out job.Output) error

// Relay manages the tickets of one host. It is safe for concurrent use.
type Relay struct {
	fleet          Fleet
	run            RunFunc
	maxTicketBytes int64

	mu        sync.Mutex
	home      *ticket.Home
	backup    *ticket.Backup
	successor *ticket.Successor
	// nextBackup selects the backups of new tickets round-robin.
	nextBackup int

	runs       sync.WaitGroup
	cancel     context.CancelFunc
	expireDone chan struct{}
}

// Options configures a Relay.
type Options struct {
	Fleet Fleet
	Run   RunFunc
	// Key authenticates the tickets of this incarnation. It is kept in memory
	// only.
	Key []byte
	// Lifetime is how long a ticket may be used.
	Lifetime time.Duration
	// MaxTicketBytes limits the memory for the stored answers of the tickets that
	// this host issued.
	MaxTicketBytes int64
}

// New returns a relay and a function that stops its background work.
func New(o Options) (*Relay, func()) {
	self := incarnationOf(o.Fleet.Self())
	ctx, cancel := context.WithCancel(context.Background())
	r := &Relay{
		fleet: o.Fleet, run: o.Run, maxTicketBytes: o.MaxTicketBytes,
		home:      ticket.NewHome(self, o.Key, o.Lifetime, maxTickets),
		backup:    ticket.NewBackup(self, o.Lifetime, maxTickets),
		successor: ticket.NewSuccessor(o.Lifetime),
		cancel:    cancel, expireDone: make(chan struct{}),
	}
	go r.expireLoop(ctx)
	return r, func() {
		cancel()
		<-r.expireDone
	}
}

// incarnationOf returns the current incarnation of a host.
func incarnationOf(host member.Identity) member.HostIncarnation {
	return member.HostIncarnation{Host: host.ID, Incarnation: host.Incarnation}
}

// expireLoop removes expired tickets and handovers periodically.
func (r *Relay) expireLoop(ctx context.Context) {
	defer close(r.expireDone)
	tick := time.NewTicker(expireInterval)
	defer tick.Stop()
	for {
		select {
		case now := <-tick.C:
			r.withLock(func() {
				r.home.Expire(now, r.maxTicketBytes)
				r.backup.Expire(now)
				r.successor.Expire(now)
			})
		case <-ctx.Done():
			return
		}
	}
}

// withLock calls f with the lock held.
func (r *Relay) withLock(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}

// Counts returns the numbers of tickets that the relay holds as home and as
// backup.
func (r *Relay) Counts() (home, backup int) {
	r.withLock(func() { home, backup = r.home.Count(), r.backup.Count() })
	return home, backup
}

// Issue issues a ticket to an account. Its backup is another live host of the
// failure domain. If there is none, the ticket has no backup and only its home
// knows the outcome of the request.
func (r *Relay) Issue(account plan.AccountID) (ticket.Token, error) {
	self := r.fleet.Self()
	var candidates []member.Identity
	for _, h := range r.fleet.Live(self.Domain) {
		if h.ID != self.ID {
			candidates = append(candidates, h)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var backup member.HostIncarnation
	if len(candidates) > 0 {
		r.nextBackup++
		backup = incarnationOf(candidates[r.nextBackup%len(candidates)])
	}
	return r.home.Issue(time.Now(), account, backup)
}

// useLocal returns the record of a ticket whose home is this host, and starts
// the run if the ticket is new.
func (r *Relay) useLocal(t ticket.Token, j *job.Job, arrived time.Time) (*ticket.Record, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record, isNew, err := r.home.Use(time.Now(), t, j.Account, j.TicketHash())
	if err != nil {
		return nil, err
	}
	if isNew {
		r.runs.Go(func() { r.runJob(record, j, arrived) })
	}
	return record, nil
}

// runJob runs a ticket's job. The run continues if the caller disconnects, since
// the caller may reconnect to read the answer.
func (r *Relay) runJob(record *ticket.Record, j *job.Job, arrived time.Time) {
	acknowledged := false
	guard := func(ctx context.Context) error {
		if acknowledged {
			return nil
		}
		if err := r.confirmDispatch(ctx, record.Token); err != nil {
			return err
		}
		acknowledged = true
		return nil
	}
	err := r.run(context.Background(), j, arrived, guard, record.Answer)
	r.withLock(func() { r.recordOutcome(record.Token, err) })
	record.Answer.Close()
}

// recordOutcome records the outcome of a run that ended with err. The lock must
// be held.
func (r *Relay) recordOutcome(t ticket.Token, err error) {
	if err == nil {
		r.home.Finish(t, ticket.Ran, "")
		return
	}
	refused := refusal.FromError(err)
	if refused.Outcome == ticket.NotRun {
		if !r.home.Void(t, ticket.Reason(refused.Code)) {
			r.home.Finish(t, ticket.NotRun, ticket.Reason(refused.Code))
		}
		return
	}
	r.home.Finish(t, refused.Outcome, ticket.Interrupted)
}

// confirmDispatch records the intent at the ticket's backup and then marks the
// ticket as dispatched at this home. If either fails, it returns an error and
// the ticket is void.
func (r *Relay) confirmDispatch(ctx context.Context, t ticket.Token) error {
	claims, err := ticket.Parse(t)
	if err != nil {
		return err
	}
	if claims.Backup.Host != "" && !r.requestIntent(ctx, claims, t) {
		r.withLock(func() { r.home.Void(t, ticket.Voided) })
		return &ticket.RefusedError{Reason: ticket.Voided, Outcome: ticket.NotRun}
	}
	var dispatch bool
	r.withLock(func() { dispatch = r.home.MarkDispatched(time.Now(), t) })
	if !dispatch {
		return &ticket.RefusedError{Reason: ticket.Voided, Outcome: ticket.NotRun}
	}
	return nil
}

// requestIntent asks the ticket's backup to record the intent, and reports
// whether it did. The backup must still be the incarnation that the ticket
// names.
func (r *Relay) requestIntent(ctx context.Context, claims ticket.Claims, t ticket.Token) bool {
	host, ok := r.fleet.Find(claims.Backup.Host)
	if !ok || host.Identity.Incarnation != claims.Backup.Incarnation {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, intentTimeout)
	defer cancel()
	var reply peer.IntentReply
	err := r.fleet.Call(ctx, host.Identity, "Intent", &peer.TicketArgs{Ticket: t}, &reply)
	return err == nil && reply.Acknowledged
}
