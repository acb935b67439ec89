// Package relay carries tickets between hosts. A Relay is home and backup to
// the tickets of its own host, and brings requests with any other ticket to
// where that ticket belongs. Callers may send a ticket to whichever host.
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
	// recordsMost bounds the tickets that a home or a backup holds.
	recordsMost = 1 << 16
	expireTime  = 5 * time.Second
	intentTime  = 2 * time.Second
)

// Fleet is what a relay knows of the other hosts.
type Fleet interface {
	Self() member.Identity
	Live(domain plan.DomainID) []member.Identity
	// Find returns a host by name, and false where it is not known.
	Find(id plan.HostID) (member.Host, bool)
	// Successor returns who holds the handover of an incarnation that left.
	Successor(member.HostIncarnation) (member.HostIncarnation, bool)
	Call(ctx context.Context, host member.Identity, method string, args, reply any) error
}

// Run runs a job once its guard agrees.
type Run func(ctx context.Context, j *job.Job, arrived time.Time, guard runner.Guard, out job.Output) error

// Relay handles the tickets of one host.
type Relay struct {
	fleet Fleet
	run   Run
	bytes int64

	mu        sync.Mutex
	home      *ticket.Home
	backup    *ticket.Backup
	successor *ticket.Successor
	// turn spreads tickets over the hosts that may be their backup.
	turn int

	running sync.WaitGroup
	cancel  context.CancelFunc
	done    chan struct{}
}

// Options are a relay's parts.
type Options struct {
	Fleet Fleet
	Run   Run
	// Key authenticates the tickets of this start. It is kept in memory only.
	Key []byte
	// Life is how long a ticket may be used.
	Life time.Duration
	// Bytes bounds the memory of kept answers.
	Bytes int64
}

// New returns a relay and its clean-up function.
func New(o Options) (*Relay, func()) {
	self := formerOf(o.Fleet.Self())
	ctx, cancel := context.WithCancel(context.Background())
	r := &Relay{
		fleet: o.Fleet, run: o.Run, bytes: o.Bytes,
		home:      ticket.NewHome(self, o.Key, o.Life, recordsMost),
		backup:    ticket.NewBackup(self, o.Life, recordsMost),
		successor: ticket.NewSuccessor(o.Life),
		cancel:    cancel, done: make(chan struct{}),
	}
	go r.expire(ctx)
	return r, func() {
		cancel()
		<-r.done
	}
}

func formerOf(s member.Identity) member.HostIncarnation {
	return member.HostIncarnation{Host: s.ID, Incarnation: s.Incarnation}
}

func (r *Relay) expire(ctx context.Context) {
	defer close(r.done)
	tick := time.NewTicker(expireTime)
	defer tick.Stop()
	for {
		select {
		case now := <-tick.C:
			r.locked(func() {
				r.home.Expire(now, r.bytes)
				r.backup.Expire(now)
				r.successor.Expire(now)
			})
		case <-ctx.Done():
			return
		}
	}
}

func (r *Relay) locked(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}

// Counts returns how many tickets the relay holds as home and as backup.
func (r *Relay) Counts() (home, backup int) {
	r.locked(func() { home, backup = r.home.Count(), r.backup.Count() })
	return home, backup
}

// Mint issues a ticket to an account. Its backup is another live host of the
// domain; where there is none, the ticket has no backup and only its home can
// say what became of it.
func (r *Relay) Mint(account plan.AccountID) (ticket.Token, error) {
	self := r.fleet.Self()
	var others []member.Identity
	for _, h := range r.fleet.Live(self.Domain) {
		if h.ID != self.ID {
			others = append(others, h)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var backup member.HostIncarnation
	if len(others) > 0 {
		r.turn++
		backup = formerOf(others[r.turn%len(others)])
	}
	return r.home.Mint(time.Now(), account, backup)
}

// begin takes up a ticket of this home and starts its run where it is new.
func (r *Relay) begin(t ticket.Token, j *job.Job, arrived time.Time) (*ticket.Record, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record, fresh, err := r.home.Use(time.Now(), t, j.Account, j.Hash())
	if err != nil {
		return nil, err
	}
	if fresh {
		r.running.Go(func() { r.serve(record, j, arrived) })
	}
	return record, nil
}

// serve runs a ticket's job. It goes on when the caller leaves, since the
// caller may come back for the answer.
func (r *Relay) serve(record *ticket.Record, j *job.Job, arrived time.Time) {
	agreed := false
	guard := func(ctx context.Context) error {
		if agreed {
			return nil
		}
		if err := r.intend(ctx, record.Token); err != nil {
			return err
		}
		agreed = true
		return nil
	}
	err := r.run(context.Background(), j, arrived, guard, record.Answer)
	r.locked(func() { r.settle(record.Token, err) })
	record.Answer.Close()
}

// settle records how a run ended.
func (r *Relay) settle(t ticket.Token, err error) {
	if err == nil {
		r.home.Finish(t, ticket.Ran, "")
		return
	}
	e := refusal.Of(err)
	if e.Outcome == ticket.NotRun {
		if !r.home.Void(t, ticket.Reason(e.Code)) {
			r.home.Finish(t, ticket.NotRun, ticket.Reason(e.Code))
		}
		return
	}
	r.home.Finish(t, e.Outcome, ticket.Interrupted)
}

// intend asks the ticket's backup to agree to the dispatch, and then the home
// itself. Without both the ticket is void.
func (r *Relay) intend(ctx context.Context, t ticket.Token) error {
	name, err := ticket.Parse(t)
	if err != nil {
		return err
	}
	if name.Backup.Host != "" && !r.acknowledged(ctx, name, t) {
		r.locked(func() { r.home.Void(t, ticket.Voided) })
		return &ticket.RefusedError{Reason: ticket.Voided, Outcome: ticket.NotRun}
	}
	var may bool
	r.locked(func() { may = r.home.MayDispatch(time.Now(), t) })
	if !may {
		return &ticket.RefusedError{Reason: ticket.Voided, Outcome: ticket.NotRun}
	}
	return nil
}

func (r *Relay) acknowledged(ctx context.Context, name ticket.Name, t ticket.Token) bool {
	host, ok := r.fleet.Find(name.Backup.Host)
	if !ok || host.Identity.Incarnation != name.Backup.Incarnation {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, intentTime)
	defer cancel()
	var reply peer.IntentReply
	err := r.fleet.Call(ctx, host.Identity, "Intent", &peer.TicketArgs{Ticket: t}, &reply)
	return err == nil && reply.Acknowledged
}
