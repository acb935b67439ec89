package placement

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"mulberrydyke/clock"
	"mulberrydyke/member"
	"mulberrydyke/peer"
	"mulberrydyke/plan"
	"mulberrydyke/pool"
)

const (
	// askTries is how many schedulers are asked before a host decides fallback.
	askTries = 3
	// movedPause is the pause before another scheduler is asked.
	movedPause = 20 * time.Millisecond
	// reportRing bounds the reports that wait to be sent.
	reportRing = 8192
	// reportBatch bounds the reports of one message.
	reportBatch = 512
	reportTime  = time.Second
)

// RefusedError reports a request that was refused before it ran.
type RefusedError struct {
	Pool       pool.ID
	Reason     pool.Reason
	RetryAfter time.Duration
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("pool %s in %s: %s", e.Pool.Name, e.Pool.Domain, e.Reason)
}

// Fleet is what a client knows of the other hosts.
type Fleet interface {
	// Self returns this host.
	Self() member.Self
	// Live returns the hosts of a domain that take new work.
	Live(domain plan.DomainID) []member.Self
	// Call calls a method of another host.
	Call(ctx context.Context, host member.Self, method string, args, reply any) error
}

// Client finds a place for requests of this host.
type Client struct {
	fleet Fleet
	local *Server
	// fallback decides while no scheduler of the pool can be reached.
	fallback *Server
	reports  chan report
	done     chan struct{}
	cancel   context.CancelFunc

	mu   sync.Mutex
	runs map[pool.RequestID]*Lease
}

// report is one event on its way to a scheduler.
type report struct {
	host  member.Self
	pool  pool.ID
	event pool.Event
}

// NewClient returns a client and its clean-up function. The servers local and
// fallback run the schedulers of this host.
func NewClient(fleet Fleet, local, fallback *Server) (*Client, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Client{
		fleet: fleet, local: local, fallback: fallback,
		reports: make(chan report, reportRing), done: make(chan struct{}), cancel: cancel,
		runs: map[pool.RequestID]*Lease{},
	}
	go c.sendReports(ctx)
	return c, func() {
		cancel()
		<-c.done
	}
}

// Lease is a place on an upstream. Its holder must call End.
type Lease struct {
	client   *Client
	pool     pool.ID
	ask      pool.Ask
	upstream plan.UpstreamID
	// granter is the host that granted; a zero ID means the
	// server of this host that decides by itself.
	granter member.Self
	server  *Server
	mu      sync.Mutex
	started bool
	ended   bool
}

// Upstream returns where the request runs.
func (l *Lease) Upstream() plan.UpstreamID { return l.upstream }

// Pool returns the pool that the place belongs to.
func (l *Lease) Pool() pool.ID { return l.pool }

// Place waits for a place for ask in a pool. It fails with a RefusedError, or
// with the error of ctx once the caller has left.
func (c *Client) Place(ctx context.Context, id pool.ID, ask pool.Ask) (*Lease, error) {
	for try := 0; try < askTries; try++ {
		ranked := SchedulerOf(id, c.fleet.Live(id.Domain))
		if len(ranked) == 0 {
			break
		}
		host := ranked[min(try/2, len(ranked)-1)]
		decision, err := c.askHost(ctx, host, id, ask)
		if err == nil && !decision.Moved {
			return c.settle(ctx, host, c.local, id, ask, decision)
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		clock.Sleep(ctx, movedPause)
	}
	if id.Domain != c.fleet.Self().Domain {
		return nil, &RefusedError{Pool: id, Reason: pool.NoUpstream, RetryAfter: time.Second}
	}
	decision := c.fallback.Ask(ctx, id, ask)
	return c.settle(ctx, member.Self{}, c.fallback, id, ask, decision)
}

// settle turns a decision into a lease or an error.
func (c *Client) settle(ctx context.Context, host member.Self, server *Server, id pool.ID, ask pool.Ask, d Decision) (*Lease, error) {
	switch {
	case d.Withdrawn:
		return nil, context.Cause(ctx)
	case d.Moved:
		return nil, &RefusedError{Pool: id, Reason: pool.NoUpstream, RetryAfter: time.Second}
	case d.Command.Kind != pool.Grant:
		return nil, &RefusedError{Pool: id, Reason: d.Command.Reason, RetryAfter: d.Command.RetryAfter}
	}
	l := &Lease{client: c, pool: id, ask: ask, upstream: d.Command.Upstream, granter: host, server: server}
	c.mu.Lock()
	c.runs[ask.ID] = l
	c.mu.Unlock()
	if ctx.Err() != nil {
		l.End(pool.Ended{Outcome: pool.Unused})
		return nil, ctx.Err()
	}
	return l, nil
}

// askHost asks one scheduler, here or elsewhere.
func (c *Client) askHost(ctx context.Context, host member.Self, id pool.ID, ask pool.Ask) (Decision, error) {
	if host.ID == c.fleet.Self().ID {
		return c.local.Ask(ctx, id, ask), nil
	}
	args := &peer.AskArgs{Pool: id, Ask: peer.NewSlotRequest(time.Now(), ask)}
	answer := make(chan error, 1)
	var reply peer.AskReply
	call, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	go func() { answer <- c.fleet.Call(call, host, "Ask", args, &reply) }()
	var err error
	select {
	case err = <-answer:
	case <-ctx.Done():
		c.report(host, id, &pool.Withdrawn{ID: ask.ID})
		err = awaitWithdrawal(answer, cancel)
	}
	if err != nil {
		var refused *peer.RemoteError
		if errors.As(err, &refused) {
			return Decision{Moved: true}, nil
		}
		return Decision{}, err
	}
	return Decision{Moved: reply.Moved, Withdrawn: reply.Withdrawn, Command: reply.Command}, nil
}

// awaitWithdrawal waits a moment for the answer to a withdrawn request, so
// that a grant made meanwhile is given back.
func awaitWithdrawal(answer <-chan error, cancel func()) error {
	timer := time.NewTimer(reportTime)
	defer timer.Stop()
	select {
	case err := <-answer:
		return err
	case <-timer.C:
		cancel()
		return <-answer
	}
}

// Runs returns what this host runs in a pool.
func (c *Client) Runs(id pool.ID) []pool.Run {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []pool.Run
	for _, l := range c.runs {
		if l.pool == id {
			l.mu.Lock()
			out = append(out, pool.Run{Ask: l.ask, Upstream: l.upstream, Started: l.started})
			l.mu.Unlock()
		}
	}
	return out
}

// Started reports the time from dispatch to the first token.
func (l *Lease) Started(latency time.Duration) {
	l.mu.Lock()
	l.started = true
	l.mu.Unlock()
	if l.ask.IsLong() {
		l.tell(&pool.Started{ID: l.ask.ID, Latency: latency})
	}
}

// End reports how the run ended and gives the place back. Further calls do
// nothing.
func (l *Lease) End(e pool.Ended) {
	l.mu.Lock()
	ended := l.ended
	l.ended = true
	l.mu.Unlock()
	if ended {
		return
	}
	l.client.mu.Lock()
	delete(l.client.runs, l.ask.ID)
	l.client.mu.Unlock()
	e.ID = l.ask.ID
	l.tell(&e)
}

// tell hands an event to the host that granted, and to the pool's present
// scheduler where that is another one.
func (l *Lease) tell(e pool.Event) {
	c := l.client
	if l.granter.ID == "" {
		l.server.Tell(l.pool, e)
		return
	}
	c.report(l.granter, l.pool, e)
	ranked := SchedulerOf(l.pool, c.fleet.Live(l.pool.Domain))
	if len(ranked) > 0 && ranked[0].ID != l.granter.ID {
		c.report(ranked[0], l.pool, e)
	}
}

// report hands an event to a scheduler here, or puts it into the ring.
func (c *Client) report(host member.Self, id pool.ID, e pool.Event) {
	if host.ID == c.fleet.Self().ID {
		c.local.Tell(id, e)
		return
	}
	select {
	case c.reports <- report{host: host, pool: id, event: e}:
	default:
	}
}

// sendReports sends what is in the ring, several at a time.
func (c *Client) sendReports(ctx context.Context) {
	defer close(c.done)
	for {
		select {
		case r := <-c.reports:
			c.sendBatch(ctx, c.collect(r))
		case <-ctx.Done():
			return
		}
	}
}

type reportKey struct {
	host member.Self
	pool pool.ID
}

func (c *Client) collect(first report) map[reportKey]*peer.ReportArgs {
	batch := map[reportKey]*peer.ReportArgs{}
	add(batch, first)
	for range reportBatch {
		select {
		case r := <-c.reports:
			add(batch, r)
		default:
			return batch
		}
	}
	return batch
}

func add(batch map[reportKey]*peer.ReportArgs, r report) {
	key := reportKey{host: r.host, pool: r.pool}
	args := batch[key]
	if args == nil {
		args = &peer.ReportArgs{Pool: r.pool}
		batch[key] = args
	}
	switch e := r.event.(type) {
	case *pool.Withdrawn:
		args.Withdrawn = append(args.Withdrawn, *e)
	case *pool.Started:
		args.Started = append(args.Started, *e)
	case *pool.Ended:
		args.Ended = append(args.Ended, *e)
	}
}

// sendBatch sends to all hosts at once, so that one that doesn't answer holds
// up the others for a bounded time only.
func (c *Client) sendBatch(ctx context.Context, batch map[reportKey]*peer.ReportArgs) {
	ctx, cancel := context.WithTimeout(ctx, reportTime)
	defer cancel()
	var wait sync.WaitGroup
	for key, args := range batch {
		wait.Go(func() {
			_ = c.fleet.Call(ctx, key.host, "Report", args, &peer.Empty{})
		})
	}
	wait.Wait()
}
