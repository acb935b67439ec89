// Package relay carries tickets between hosts. A Desk is home and backup to
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

// Fleet is what a desk knows of the other hosts.
type Fleet interface {
	Self() member.Self
	Live(domain plan.DomainID) []member.Self
	// Find returns a host by name, and false where it is not known.
	Find(id plan.HostID) (member.Host, bool)
	// Successor returns who holds the estate of an incarnation that left.
	Successor(member.Former) (member.Former, bool)
	Call(ctx context.Context, host member.Self, method string, args, reply any) error
}

// Run runs a job once its guard agrees.
type Run func(ctx context.Context, j *job.Job, arrived time.Time, guard runner.Guard, out job.Output) error

// Desk handles the tickets of one host.
type Desk struct {
	fleet Fleet
	run   Run
	bytes int64

	mu     sync.Mutex
	home   *ticket.Home
	backup *ticket.Backup
	heir   *ticket.Heir
	// turn spreads tickets over the hosts that may be their backup.
	turn int

	running sync.WaitGroup
	cancel  context.CancelFunc
	done    chan struct{}
}

// Options are a desk's parts.
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

// NewDesk returns a desk and its clean-up function.
func NewDesk(o Options) (*Desk, func()) {
	self := formerOf(o.Fleet.Self())
	ctx, cancel := context.WithCancel(context.Background())
	d := &Desk{
		fleet: o.Fleet, run: o.Run, bytes: o.Bytes,
		home:   ticket.NewHome(self, o.Key, o.Life, recordsMost),
		backup: ticket.NewBackup(self, o.Life, recordsMost),
		heir:   ticket.NewHeir(o.Life),
		cancel: cancel, done: make(chan struct{}),
	}
	go d.expire(ctx)
	return d, func() {
		cancel()
		<-d.done
	}
}

func formerOf(s member.Self) member.Former {
	return member.Former{Host: s.ID, Incarnation: s.Incarnation}
}

func (d *Desk) expire(ctx context.Context) {
	defer close(d.done)
	tick := time.NewTicker(expireTime)
	defer tick.Stop()
	for {
		select {
		case now := <-tick.C:
			d.locked(func() {
				d.home.Expire(now, d.bytes)
				d.backup.Expire(now)
				d.heir.Expire(now)
			})
		case <-ctx.Done():
			return
		}
	}
}

func (d *Desk) locked(f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f()
}

// Counts returns how many tickets the desk holds as home and as backup.
func (d *Desk) Counts() (home, backup int) {
	d.locked(func() { home, backup = d.home.Count(), d.backup.Count() })
	return home, backup
}

// Mint issues a ticket to an account. Its backup is another live host of the
// domain; where there is none, the ticket has no backup and only its home can
// say what became of it.
func (d *Desk) Mint(account plan.AccountID) (ticket.Token, error) {
	self := d.fleet.Self()
	var others []member.Self
	for _, h := range d.fleet.Live(self.Domain) {
		if h.ID != self.ID {
			others = append(others, h)
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	var backup member.Former
	if len(others) > 0 {
		d.turn++
		backup = formerOf(others[d.turn%len(others)])
	}
	return d.home.Mint(time.Now(), account, backup)
}

// begin takes up a ticket of this home and starts its run where it is new.
func (d *Desk) begin(t ticket.Token, j *job.Job, arrived time.Time) (*ticket.Record, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	record, fresh, err := d.home.Use(time.Now(), t, j.Account, j.Hash())
	if err != nil {
		return nil, err
	}
	if fresh {
		d.running.Go(func() { d.serve(record, j, arrived) })
	}
	return record, nil
}

// serve runs a ticket's job. It goes on when the caller leaves, since the
// caller may come back for the answer.
func (d *Desk) serve(record *ticket.Record, j *job.Job, arrived time.Time) {
	agreed := false
	guard := func(ctx context.Context) error {
		if agreed {
			return nil
		}
		if err := d.intend(ctx, record.Token); err != nil {
			return err
		}
		agreed = true
		return nil
	}
	err := d.run(context.Background(), j, arrived, guard, record.Answer)
	d.locked(func() { d.settle(record.Token, err) })
	record.Answer.Close()
}

// settle records how a run ended.
func (d *Desk) settle(t ticket.Token, err error) {
	if err == nil {
		d.home.Finish(t, ticket.Ran, "")
		return
	}
	e := refusal.Of(err)
	if e.Outcome == ticket.NotRun {
		if !d.home.Void(t, ticket.Reason(e.Code)) {
			d.home.Finish(t, ticket.NotRun, ticket.Reason(e.Code))
		}
		return
	}
	d.home.Finish(t, e.Outcome, ticket.Interrupted)
}

// intend asks the ticket's backup to agree to the dispatch, and then the home
// itself. Without both the ticket is void.
func (d *Desk) intend(ctx context.Context, t ticket.Token) error {
	name, err := ticket.Parse(t)
	if err != nil {
		return err
	}
	if name.Backup.Host != "" && !d.acknowledged(ctx, name, t) {
		d.locked(func() { d.home.Void(t, ticket.Voided) })
		return &ticket.RefusedError{Reason: ticket.Voided, Outcome: ticket.NotRun}
	}
	var may bool
	d.locked(func() { may = d.home.MayDispatch(time.Now(), t) })
	if !may {
		return &ticket.RefusedError{Reason: ticket.Voided, Outcome: ticket.NotRun}
	}
	return nil
}

func (d *Desk) acknowledged(ctx context.Context, name ticket.Name, t ticket.Token) bool {
	host, ok := d.fleet.Find(name.Backup.Host)
	if !ok || host.Self.Incarnation != name.Backup.Incarnation {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, intentTime)
	defer cancel()
	var reply peer.IntentReply
	err := d.fleet.Call(ctx, host.Self, "Intent", &peer.TicketArgs{Ticket: t}, &reply)
	return err == nil && reply.Acknowledged
}
