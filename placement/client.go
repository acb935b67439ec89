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
	"mulberrydyke/upstream"
)

const (
	// attemptLimit is the number of times that a request is submitted before the
	// fallback server decides.
	attemptLimit = 3
	// retryPause is the pause before the next attempt.
	retryPause = 20 * time.Millisecond
	// reportQueueSize bounds the queue of reports to other hosts.
	reportQueueSize = 8192
	// maxBatchReports bounds the reports that are added to the first one of a
	// batch.
	maxBatchReports = 512
	// reportTimeout bounds the time for sending a batch, and the time for which a
	// withdrawn request waits for the scheduler's reply.
	reportTimeout = time.Second
)

// RefusedError is the error of a request that was refused before it ran.
type RefusedError struct {
	Pool       pool.ID
	Reason     pool.Reason
	RetryAfter time.Duration
}

// Error returns the pool and the reason.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("pool %s in %s: %s", e.Pool.Name, e.Pool.Domain, e.Reason)
}

// Fleet gives a client access to the other hosts.
type Fleet interface {
	// Self returns this host.
	Self() member.Identity
	// Live returns the hosts of a failure domain that take new work.
	Live(domain plan.DomainID) []member.Identity
	// Call calls a method of another host.
	Call(ctx context.Context, host member.Identity, method string, args, reply any) error
}

// Client obtains slots on upstreams for the requests of this host.
type Client struct {
	fleet Fleet
	local *Server
	// fallback decides if no scheduler of the pool can be reached.
	fallback *Server
	reports  chan report
	done     chan struct{}
	cancel   context.CancelFunc

	mu   sync.Mutex
	runs map[pool.RequestID]*Lease
}

// report is an event that is queued for the scheduler of a pool on a host.
type report struct {
	host  member.Identity
	pool  pool.ID
	event pool.Event
}

// NewClient returns a client and its cleanup function. The local server runs the
// schedulers of the pools that this host decides for, and the fallback server
// those that decide if no scheduler of the pool can be reached.
func NewClient(fleet Fleet, local, fallback *Server) (*Client, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Client{
		fleet: fleet, local: local, fallback: fallback,
		reports: make(chan report, reportQueueSize), done: make(chan struct{}), cancel: cancel,
		runs: map[pool.RequestID]*Lease{},
	}
	go c.sendReports(ctx)
	return c, func() {
		cancel()
		<-c.done
	}
}

// Lease is a granted slot on an upstream. Its holder must call End.
type Lease struct {
	client   *Client
	pool     pool.ID
	req      pool.Request
	upstream plan.UpstreamID
	// rateLimited is set if the upstream had a rate limit when the slot was granted.
	rateLimited bool
	// granter is the host that granted the slot. A zero ID means the fallback
	// server of this host.
	granter member.Identity
	server  *Server
	mu      sync.Mutex
	started bool
	ended   bool
}

// Upstream returns the upstream that runs the request.
func (l *Lease) Upstream() plan.UpstreamID { return l.upstream }

// Pool returns the pool of the upstream.
func (l *Lease) Pool() pool.ID { return l.pool }

// Place waits until a request is granted a slot in a pool. It returns a
// RefusedError if the request is refused, or the error of ctx once that is done.
func (c *Client) Place(ctx context.Context, id pool.ID, req pool.Request) (*Lease, error) {
	for attempt := 0; attempt < attemptLimit; attempt++ {
		ranked := RankSchedulers(id, c.fleet.Live(id.Domain))
		if len(ranked) == 0 {
			break
		}
		// The first two attempts go to the first host, the third to the next one.
		host := ranked[min(attempt/2, len(ranked)-1)]
		decision, err := c.submitTo(ctx, host, id, req)
		if err == nil && !decision.Moved {
			return c.newLease(ctx, host, c.local, id, req, decision)
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		clock.Sleep(ctx, retryPause)
	}
	if id.Domain != c.fleet.Self().Domain {
		return nil, &RefusedError{Pool: id, Reason: pool.NoUpstream, RetryAfter: time.Second}
	}
	decision := c.fallback.Submit(ctx, id, req)
	return c.newLease(ctx, member.Identity{}, c.fallback, id, req, decision)
}

// newLease returns the lease for a grant, or the error for any other decision.
func (c *Client) newLease(ctx context.Context, host member.Identity, server *Server, id pool.ID, req pool.Request, d Decision) (*Lease, error) {
	switch {
	case d.Withdrawn:
		return nil, context.Cause(ctx)
	case d.Moved:
		return nil, &RefusedError{Pool: id, Reason: pool.NoUpstream, RetryAfter: time.Second}
	case d.Command.Kind != pool.Grant:
		return nil, &RefusedError{Pool: id, Reason: d.Command.Reason, RetryAfter: d.Command.RetryAfter}
	}
	l := &Lease{client: c, pool: id, req: req, upstream: d.Command.Upstream, rateLimited: d.Command.RateLimited, granter: host, server: server}
	c.mu.Lock()
	c.runs[req.ID] = l
	c.mu.Unlock()
	if ctx.Err() != nil {
		l.End(pool.Ended{Outcome: pool.Unused})
		return nil, ctx.Err()
	}
	return l, nil
}

// submitTo submits a request to the scheduler on a host, which may be this one.
func (c *Client) submitTo(ctx context.Context, host member.Identity, id pool.ID, req pool.Request) (Decision, error) {
	if host.ID == c.fleet.Self().ID {
		return c.local.Submit(ctx, id, req), nil
	}
	args := &peer.AskArgs{Pool: id, Ask: peer.NewSlotRequest(time.Now(), req)}
	replied := make(chan error, 1)
	var reply peer.AskReply
	callCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	go func() { replied <- c.fleet.Call(callCtx, host, "Ask", args, &reply) }()
	var err error
	select {
	case err = <-replied:
	case <-ctx.Done():
		c.report(host, id, &pool.Withdrawn{ID: req.ID})
		err = awaitWithdrawal(replied, cancel)
	}
	if err != nil {
		var remoteErr *peer.RemoteError
		if errors.As(err, &remoteErr) {
			return Decision{Moved: true}, nil
		}
		return Decision{}, err
	}
	return Decision{Moved: reply.Moved, Withdrawn: reply.Withdrawn, Command: reply.Command}, nil
}

// awaitWithdrawal waits up to reportTimeout for the reply to a withdrawn request,
// so that a slot that was granted in the meantime can be released.
func awaitWithdrawal(replied <-chan error, cancel func()) error {
	timer := time.NewTimer(reportTimeout)
	defer timer.Stop()
	select {
	case err := <-replied:
		return err
	case <-timer.C:
		cancel()
		return <-replied
	}
}

// Runs returns the runs of this host in a pool.
func (c *Client) Runs(id pool.ID) []pool.Run {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []pool.Run
	for _, l := range c.runs {
		if l.pool == id {
			l.mu.Lock()
			out = append(out, pool.Run{Ask: l.req, Upstream: l.upstream, Started: l.started})
			l.mu.Unlock()
		}
	}
	return out
}

// ReportFirstToken records that the first token was received. Latency is the time
// from dispatch. The scheduler is informed at once only if the prompt is long; for
// other prompts the report of the end carries the latency.
func (l *Lease) ReportFirstToken(latency time.Duration) {
	l.mu.Lock()
	l.started = true
	l.mu.Unlock()
	if l.req.HasLongPrompt() {
		l.report(&pool.Started{ID: l.req.ID, Latency: latency})
	}
}

// ReportTerms reports what the upstream said in the head of its response at the given time,
// if the scheduler may not know it.
func (l *Lease) ReportTerms(heardAt time.Time, t upstream.Terms) {
	if t.Empty() && !l.rateLimited {
		return
	}
	now := time.Now()
	l.report(&pool.TermsStated{
		Upstream: l.upstream, Rate: t.RateLimit.Rate, RateUnknown: t.RateLimit.Unusable, RetryAfter: t.RetryAfter,
		Draining: t.Drain.Draining, Instance: t.Instance,
		SentAge: max(0, now.Sub(t.SentAt)), HeardAge: max(0, now.Sub(heardAt)),
	})
}

// End reports how the run ended and releases the slot. Further calls do nothing.
func (l *Lease) End(e pool.Ended) {
	l.mu.Lock()
	ended := l.ended
	l.ended = true
	l.mu.Unlock()
	if ended {
		return
	}
	l.client.mu.Lock()
	delete(l.client.runs, l.req.ID)
	l.client.mu.Unlock()
	e.ID = l.req.ID
	l.report(&e)
}

// report sends an event to the host that granted the slot, and to the pool's
// current scheduler if that is another host.
func (l *Lease) report(e pool.Event) {
	c := l.client
	if l.granter.ID == "" {
		l.server.Send(l.pool, e)
		return
	}
	c.report(l.granter, l.pool, e)
	ranked := RankSchedulers(l.pool, c.fleet.Live(l.pool.Domain))
	if len(ranked) > 0 && ranked[0].ID != l.granter.ID {
		c.report(ranked[0], l.pool, e)
	}
}

// report sends an event to a scheduler on this host, or queues it for another host.
// The event is dropped if the queue is full.
func (c *Client) report(host member.Identity, id pool.ID, e pool.Event) {
	if host.ID == c.fleet.Self().ID {
		c.local.Send(id, e)
		return
	}
	select {
	case c.reports <- report{host: host, pool: id, event: e}:
	default:
	}
}

// sendReports sends the queued reports in batches until ctx is done.
func (c *Client) sendReports(ctx context.Context) {
	defer close(c.done)
	for {
		select {
		case r := <-c.reports:
			c.sendBatch(ctx, c.collectBatch(r))
		case <-ctx.Done():
			return
		}
	}
}

// reportKey identifies the scheduler that a report is for.
type reportKey struct {
	host member.Identity
	pool pool.ID
}

// collectBatch returns the first report and those that are queued, grouped by
// scheduler.
func (c *Client) collectBatch(first report) map[reportKey]*peer.ReportArgs {
	batch := map[reportKey]*peer.ReportArgs{}
	addReport(batch, first)
	for range maxBatchReports {
		select {
		case r := <-c.reports:
			addReport(batch, r)
		default:
			return batch
		}
	}
	return batch
}

// addReport adds a report to the message for its scheduler.
func addReport(batch map[reportKey]*peer.ReportArgs, r report) {
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
	case *pool.TermsStated:
		args.Terms = append(args.Terms, *e)
	case *pool.Ended:
		args.Ended = append(args.Ended, *e)
	}
}

// sendBatch sends to all hosts concurrently, so that a host that doesn't reply
// delays the others by at most reportTimeout.
func (c *Client) sendBatch(ctx context.Context, batch map[reportKey]*peer.ReportArgs) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for key, args := range batch {
		wg.Go(func() {
			_ = c.fleet.Call(ctx, key.host, "Report", args, &peer.Empty{})
		})
	}
	wg.Wait()
}
