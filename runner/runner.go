// Package runner takes a job to an upstream and its answer back. It places the
// job, retries what may be retried, goes on to another failure domain where its
// own is full, and never runs a job that is not idempotent twice.
package runner

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"mulberrydyke/clock"
	"mulberrydyke/job"
	"mulberrydyke/placement"
	"mulberrydyke/plan"
	"mulberrydyke/pool"
	"mulberrydyke/refusal"
	"mulberrydyke/ticket"
	"mulberrydyke/upstream"
)

const (
	// triesMost bounds the upstreams that one job is sent to.
	triesMost = 4
	// cancelTime bounds the order to cancel a run whose caller left.
	cancelTime = time.Second
	retryPause = 25 * time.Millisecond
)

// Guard is asked right before a job that must not run twice is dispatched. It
// returns nil where the job may be dispatched.
type Guard func(context.Context) error

// Report describes how a job fared, for measurements and auditors.
type Report struct {
	Upstream   plan.UpstreamID
	Pool       pool.ID
	Tries      int
	Queued     time.Duration
	FirstToken time.Duration
	Between    time.Duration
	Tokens     pool.Tokens
	// Wasted counts tokens that reached no caller.
	Wasted pool.Tokens
}

// Runner runs jobs.
type Runner struct {
	self      pool.RequestID
	placer    *placement.Client
	upstreams *upstream.Set
	state     func() *plan.State
	fresh     func(context.Context)
	domain    plan.DomainID
	domains   func() []plan.DomainID
	budget    *Budget
	most      int64
	sequence  atomic.Uint64
}

// Options are a runner's parts.
type Options struct {
	// Host and Incarnation name this start of this host.
	Host        plan.HostID
	Incarnation uint64
	Domain      plan.DomainID
	// Domains returns the other failure domains, the nearest first.
	Domains   func() []plan.DomainID
	Placer    *placement.Client
	Upstreams *upstream.Set
	State     func() *plan.State
	// AwaitFresh waits, after the process was stopped for a while, until State
	// is recent again. It may be nil.
	AwaitFresh func(context.Context)
	// AnswerBytes is the largest answer.
	AnswerBytes int64
	// RetryPart is the part of fresh requests that retries may add.
	RetryPart float64
}

// New returns a runner.
func New(o Options) *Runner {
	if o.AwaitFresh == nil {
		o.AwaitFresh = func(context.Context) {}
	}
	return &Runner{
		fresh:  o.AwaitFresh,
		self:   pool.RequestID{Host: o.Host, Incarnation: o.Incarnation},
		placer: o.Placer, upstreams: o.Upstreams, state: o.State,
		domain: o.Domain, domains: o.Domains,
		budget: NewBudget(o.RetryPart), most: o.AnswerBytes,
	}
}

// attempt is the state of one job.
type attempt struct {
	r       *Runner
	job     *job.Job
	holder  plan.Holder
	arrived time.Time
	guard   Guard
	out     job.Output
	writer  *job.Writer
	report  Report
	avoid   plan.UpstreamID
	// mayHaveRun is set once a try ended without proof that it did not run.
	mayHaveRun bool
}

// Run runs a job and writes its answer to out. It returns nil once the whole
// answer was written, else an error whose outcome is true. A nil guard means
// that the job may be dispatched at any time.
func (r *Runner) Run(ctx context.Context, j *job.Job, arrived time.Time, guard Guard, out job.Output) (Report, error) {
	holder, ok := r.state().HolderOf(j.Account)
	if !ok {
		return Report{}, refusal.New(refusal.BadKey, "the account is not in the lists in force")
	}
	r.budget.Earn()
	a := &attempt{r: r, job: j, holder: holder, arrived: arrived, guard: guard, out: out, writer: job.NewWriter(j, out)}
	for {
		err := a.try(ctx)
		if err == nil {
			return a.report, nil
		}
		if !a.mayRetry(ctx, err) {
			return a.report, a.refusalOf(err)
		}
		a.writer.Reset()
		clock.Sleep(ctx, retryPause)
	}
}

// try places and runs the job once.
func (a *attempt) try(ctx context.Context) error {
	lease, err := a.place(ctx)
	if err != nil {
		return err
	}
	a.report.Tries++
	a.report.Upstream, a.report.Pool = lease.Upstream(), lease.Pool()
	a.report.Queued = time.Since(a.arrived)
	client, err := a.admit(ctx, lease.Upstream())
	if err != nil {
		lease.End(pool.Ended{Outcome: pool.Unused})
		return err
	}
	before := client.Instance()
	summary, err := a.send(ctx, client, lease)
	a.account(summary, err)
	lease.End(a.ended(ctx, client, before, summary, err))
	return err
}

// admit checks right before dispatch what may have changed since the job was
// queued, and asks the guard. It returns the upstream's client.
func (a *attempt) admit(ctx context.Context, id plan.UpstreamID) (*upstream.Client, error) {
	a.r.fresh(ctx)
	client, ok := a.r.upstreams.Client(id)
	if !ok || !a.r.state().TakesWork(id) {
		return nil, &upstream.Error{Upstream: id, Fault: upstream.NotSent, Reason: "takes no new work"}
	}
	if err := a.entitled(); err != nil {
		return nil, err
	}
	if a.guard == nil {
		return client, nil
	}
	return client, a.guard(ctx)
}

// entitled checks the job against the lists in force now, which may have
// changed while it was queued.
func (a *attempt) entitled() error {
	holder, ok := a.r.state().HolderOf(a.job.Account)
	if !ok {
		return refusal.New(refusal.BadKey, "the account was withdrawn while its request was queued")
	}
	may := holder.MayUseModel(plan.ModelID(a.job.Target))
	code := refusal.ModelNotAllowed
	if a.job.Kind == plan.Plain {
		may, code = holder.MayUseService(plan.ServiceID(a.job.Target)), refusal.ServiceNotAllowed
	}
	if !may {
		return refusal.New(code, a.job.Target+" was withdrawn while the request was queued")
	}
	if !holder.MayUseClass(a.job.Class) {
		return refusal.New(refusal.ClassNotAllowed, string(a.job.Class)+" was withdrawn while the request was queued")
	}
	return nil
}

// send sends the job to the upstream and writes what comes back.
func (a *attempt) send(ctx context.Context, client *upstream.Client, lease *placement.Lease) (upstream.Summary, error) {
	request := upstream.Request{
		ID: a.job.ID, Method: a.job.Method, Path: a.job.Path, Body: a.job.Body,
		Priority: enginePriority(a.holder), Prompt: a.job.Prompt,
	}
	if a.job.ContentType != "" {
		request.Header = map[string][]string{"Content-Type": {a.job.ContentType}}
	}
	if !a.job.Idempotent {
		request.Ticket = a.job.ID
	}
	if a.job.Kind == plan.Plain {
		return a.call(ctx, client, request, lease)
	}
	summary, err := client.Generate(ctx, request, a.r.most, lease.Started, a.writer.Event)
	if err != nil {
		return summary, err
	}
	return summary, a.writer.Finish()
}

func (a *attempt) call(ctx context.Context, client *upstream.Client, request upstream.Request, lease *placement.Lease) (upstream.Summary, error) {
	sent := time.Now()
	answer, err := client.Call(ctx, request, a.r.most)
	if err != nil {
		return upstream.Summary{}, err
	}
	summary := upstream.Summary{FirstToken: time.Since(sent)}
	lease.Started(summary.FirstToken)
	a.out.Begin(ticket.Head{Status: answer.Status, ContentType: answer.Header.Get("Content-Type")})
	_, err = a.out.Write(answer.Body)
	return summary, err
}

// account books a try into the report.
func (a *attempt) account(s upstream.Summary, err error) {
	if s.FirstToken > 0 {
		a.report.FirstToken = a.report.Queued + s.FirstToken
	}
	a.report.Between = s.Between
	if err != nil {
		a.report.Wasted += s.Tokens
	} else {
		a.report.Tokens = s.Tokens
	}
	if err != nil && !notRun(err) {
		a.mayHaveRun = true
	}
}

func notRun(err error) bool {
	var e *upstream.Error
	return errors.As(err, &e) && e.NotRun()
}

// ended says how a try ended, for the pool's scheduler.
func (a *attempt) ended(ctx context.Context, client *upstream.Client, before pool.Instance, s upstream.Summary, err error) pool.Ended {
	out := pool.Ended{Outcome: pool.Done, Output: s.Tokens, FirstToken: s.FirstToken, Between: s.Between, Instance: s.Instance}
	if out.Instance == "" {
		out.Instance = before
	}
	var e *upstream.Error
	switch {
	case err == nil:
		return out
	case !errors.As(err, &e):
		out.Outcome = pool.Cancelled
	case e.NotRun():
		out.Outcome = pool.Refused
	case e.Fault == upstream.CallerGone || e.Fault == upstream.TooLarge:
		out.Outcome = pool.Cancelled
		a.cancel(ctx, client)
	case e.Fault == upstream.Broken && a.job.Kind == plan.Engine && client.Crashed(out.Instance):
		out.Outcome = pool.Crashed
	case e.Fault == upstream.Broken:
		out.Outcome = pool.Refused
	default:
		out.Outcome = pool.Silent
	}
	return out
}

// cancel tells the engine to stop a run that nobody reads any more.
func (a *attempt) cancel(ctx context.Context, client *upstream.Client) {
	if a.job.Kind != plan.Engine {
		return
	}
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), cancelTime)
	go func() {
		defer stop()
		client.Cancel(ctx, a.job.ID)
	}()
}

// mayRetry says whether the job may be sent to an upstream again. What never
// ran may; what may have run may only where the job is idempotent and nothing
// of it has reached the caller.
func (a *attempt) mayRetry(ctx context.Context, err error) bool {
	var e *upstream.Error
	if !errors.As(err, &e) || ctx.Err() != nil || a.report.Tries >= triesMost || a.writer.Began() {
		return false
	}
	a.avoid = e.Upstream
	if e.NotRun() {
		return true
	}
	lost := e.Fault == upstream.Broken || e.Fault == upstream.Silent || e.Fault == upstream.Mismatch
	return lost && a.job.Idempotent && a.r.budget.Spend()
}

// refusalOf returns the error for the caller. Its outcome covers all tries.
func (a *attempt) refusalOf(err error) error {
	var e *upstream.Error
	var out *refusal.Error
	switch {
	case errors.As(err, &e):
		out = refusal.New(codeOf(e.Fault), e.Error()).After(time.Second)
		if e.NotRun() {
			out.Code, out.Outcome = refusal.NoUpstream, ticket.NotRun
		}
	default:
		out = refusal.Of(err)
	}
	if a.mayHaveRun && out.Outcome == ticket.NotRun {
		out.Outcome = ticket.Unknown
	}
	return out
}

func codeOf(f upstream.Fault) refusal.Code {
	switch f {
	case upstream.TooLarge:
		return refusal.AnswerTooLarge
	case upstream.CallerGone:
		return refusal.CallerGone
	}
	return refusal.UpstreamFailed
}

// engineTier is the step of engine priority between two tiers.
const engineTier = 100

// enginePriority returns the priority that the engine is given: the tier
// first, the plan's own priority inside it.
func enginePriority(h plan.Holder) int {
	within := min(max(h.Entitlement.Priority, 0), engineTier-1)
	return int(plan.LowestTier-h.Plan.Tier)*engineTier + within
}
