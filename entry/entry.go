// Package entry serves callers over HTTP: the completion calls that model
// engines' users know, plain services, and tickets. docs/API.md describes it.
package entry

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	gopath "path"
	"strings"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/pathvar"

	"mulberrydyke/audit"
	"mulberrydyke/job"
	"mulberrydyke/metric"
	"mulberrydyke/plan"
	"mulberrydyke/refusal"
	"mulberrydyke/relay"
	"mulberrydyke/runner"
	"mulberrydyke/setting"
	"mulberrydyke/ticket"
	"mulberrydyke/web"
)

// Headers that callers may send.
const (
	ClassHeader    = "X-Class"
	DeadlineHeader = "X-Deadline"
	TicketHeader   = "X-Ticket"
)

// serviceDepth is how many path segments a call of a plain service may have.
const serviceDepth = 6

// ticketsMost bounds the tickets of one call.
const ticketsMost = 100

// Server serves callers.
type Server struct {
	state    func() *plan.State
	started  func() bool
	runner   *runner.Runner
	tickets  *relay.Relay
	bounds   setting.Bounds
	metrics  *metric.Set
	trail    *audit.Trail
	stopping atomic.Bool
	running  atomic.Int64
}

// Options are a server's parts.
type Options struct {
	State func() *plan.State
	// Started says whether the lists in force are the newest that could be
	// found when the host started.
	Started func() bool
	Runner  *runner.Runner
	Tickets *relay.Relay
	Bounds  setting.Bounds
	Metrics *metric.Set
	Trail   *audit.Trail
}

// NewServer returns a server.
func NewServer(o Options) *Server {
	return &Server{
		state: o.State, started: o.Started, runner: o.Runner, tickets: o.Tickets,
		bounds: o.Bounds, metrics: o.Metrics, trail: o.Trail,
	}
}

// Running returns how many requests are in progress.
func (s *Server) Running() int64 { return s.running.Load() }

// Stop refuses requests that arrive from now on. Those in progress go on.
func (s *Server) Stop() { s.stopping.Store(true) }

// Handler returns the routes for callers.
func (s *Server) Handler() (http.Handler, error) {
	routes := []rest.Route{
		{Method: http.MethodPost, Path: "/v1/chat/completions", Handler: s.guarded(s.complete)},
		{Method: http.MethodPost, Path: "/v1/completions", Handler: s.guarded(s.complete)},
		{Method: http.MethodGet, Path: "/v1/models", Handler: s.guarded(s.models)},
		{Method: http.MethodPost, Path: "/v1/tickets", Handler: s.guarded(s.issueTickets)},
	}
	path := "/v1/services/:service"
	for depth := range serviceDepth {
		path += "/:p" + string(rune('0'+depth))
		for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete} {
			routes = append(routes, rest.Route{Method: method, Path: path, Handler: s.guarded(s.service)})
		}
	}
	return web.Handler(routes, func(w http.ResponseWriter, _ *http.Request) {
		s.refuse(w, refusal.New(refusal.NotFound, "no such call"))
	})
}

// call is one HTTP request whose account is known.
type call struct {
	w       http.ResponseWriter
	r       *http.Request
	arrived time.Time
	state   *plan.State
	holder  plan.Holder
	// asked is set once the request's ticket was looked up at its home.
	asked bool
}

// guarded checks the key and counts the request.
func (s *Server) guarded(next func(*call) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.running.Add(1)
		defer s.running.Add(-1)
		c := &call{w: w, r: r, arrived: time.Now(), state: s.state()}
		if err := s.admit(c); err != nil {
			s.refuse(w, c.honest(err))
			return
		}
		if err := next(c); err != nil {
			s.refuse(w, c.honest(refusal.Of(err)))
		}
	}
}

// honest returns a refusal whose outcome is true for the request's ticket: what
// is refused before the ticket was looked up may have run under it earlier.
func (c *call) honest(e *refusal.Error) *refusal.Error {
	if c.asked || e.Outcome != ticket.NotRun || c.r.Header.Get(TicketHeader) == "" {
		return e
	}
	out := *e
	out.Outcome = ticket.Unknown
	return &out
}

func (s *Server) admit(c *call) *refusal.Error {
	if s.stopping.Load() {
		return refusal.New(refusal.Stopping, "the host is stopping").After(time.Second)
	}
	versions := c.state.Versions()
	if !s.started() || versions.Plans == 0 || versions.Entitlements == 0 {
		return refusal.New(refusal.NoLists, "no lists are in force yet").After(time.Second)
	}
	key, ok := strings.CutPrefix(c.r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return refusal.New(refusal.BadKey, "no bearer token")
	}
	c.holder, ok = c.state.Holder(key)
	if !ok {
		return refusal.New(refusal.BadKey, "no account has this key")
	}
	return nil
}

// refuse answers with a refusal. Nothing of an answer has been written.
func (s *Server) refuse(w http.ResponseWriter, e *refusal.Error) {
	s.metrics.RecordRefusal(string(e.Code))
	writeRefusal(w, e)
}

// complete serves a completion.
func (s *Server) complete(c *call) error {
	raw, err := s.readBody(c)
	if err != nil {
		return err
	}
	j := s.newJob(c)
	j.Path = c.r.URL.Path
	j.Chat = strings.HasSuffix(j.Path, "/chat/completions")
	if err := j.ReadCompletion(raw); err != nil {
		return refusal.New(refusal.BadRequest, err.Error())
	}
	if err := s.allowModel(c, j); err != nil {
		return err
	}
	class, ok := c.state.Class(j.Class)
	if !ok || !c.holder.MayUseClass(j.Class) {
		return refusal.New(refusal.ClassNotAllowed, "class "+string(j.Class))
	}
	j.Idempotent = class.Idempotent
	return s.run(c, j)
}

func (s *Server) allowModel(c *call, j *job.Job) error {
	if c.holder.MayUseModel(plan.ModelID(j.Target)) {
		return nil
	}
	for _, e := range c.state.Entitlements.Entitlements {
		for _, m := range e.Models {
			if string(m) == j.Target {
				return refusal.New(refusal.ModelNotAllowed, "model "+j.Target)
			}
		}
	}
	return refusal.New(refusal.NotFound, "no model "+j.Target)
}

// service serves a call of a plain service.
func (s *Server) service(c *call) error {
	id := plan.ServiceID(pathvar.Vars(c.r)["service"])
	path := strings.TrimPrefix(c.r.URL.Path, "/v1/services/"+string(id))
	escaped := (&url.URL{Path: path}).EscapedPath()
	if cleaned := gopath.Clean(path); cleaned != strings.TrimSuffix(path, "/") {
		return refusal.New(refusal.BadRequest, "the path must not contain empty or relative segments")
	}
	listed, ok := c.state.Call(id, c.r.Method, path)
	if !ok {
		return refusal.New(refusal.NotFound, "no such call of service "+string(id))
	}
	if !c.holder.MayUseService(id) {
		return refusal.New(refusal.ServiceNotAllowed, "service "+string(id))
	}
	raw, err := s.readBody(c)
	if err != nil {
		return err
	}
	j := s.newJob(c)
	if !c.holder.MayUseClass(j.Class) {
		return refusal.New(refusal.ClassNotAllowed, "class "+string(j.Class))
	}
	j.Kind, j.Target, j.Method, j.Body = plan.Plain, string(id), c.r.Method, raw
	j.Path, j.ContentType = escaped, c.r.Header.Get("Content-Type")
	if c.r.URL.RawQuery != "" {
		j.Path += "?" + c.r.URL.RawQuery
	}
	j.Idempotent = listed.Idempotent
	return s.run(c, j)
}

// newJob returns a job with what the headers say.
func (s *Server) newJob(c *call) *job.Job {
	j := &job.Job{ID: uuid.NewString(), Account: c.holder.Account.ID, Class: plan.ClassID(c.r.Header.Get(ClassHeader))}
	if j.Class == "" && len(c.holder.Entitlement.Classes) > 0 {
		j.Class = c.holder.Entitlement.Classes[0]
	}
	if span, err := time.ParseDuration(c.r.Header.Get(DeadlineHeader)); err == nil && span > 0 {
		j.Patience = span
	}
	return j
}

// readBody reads a body within its bounds of size and time.
func (s *Server) readBody(c *call) ([]byte, error) {
	control := http.NewResponseController(c.w)
	_ = control.SetReadDeadline(c.arrived.Add(s.bounds.BodyTime.Std()))
	raw, err := readAll(http.MaxBytesReader(c.w, c.r.Body, s.bounds.BodyBytes), c.r.ContentLength)
	_ = control.SetReadDeadline(time.Time{})
	if err == nil {
		return raw, nil
	}
	var large *http.MaxBytesError
	var slow interface{ Timeout() bool }
	switch {
	case errors.As(err, &large):
		return nil, refusal.New(refusal.BodyTooLarge, err.Error())
	case errors.As(err, &slow) && slow.Timeout():
		return nil, refusal.New(refusal.BodyTimeout, "the body did not come in time")
	}
	return nil, refusal.New(refusal.BadRequest, "the body broke off")
}

// run runs a job, under a ticket where it must not run twice.
func (s *Server) run(c *call, j *job.Job) error {
	token := ticket.Token(c.r.Header.Get(TicketHeader))
	if !j.Idempotent && token == "" {
		return s.ticketRequired(j)
	}
	out := newOutput(c, j, s.bounds.Silence.Std())
	ctx, cancel := context.WithCancel(c.r.Context())
	defer cancel()
	if j.Idempotent {
		err := s.Execute(ctx, j, c.arrived, nil, out)
		return out.end(err)
	}
	c.asked = true
	err := s.tickets.Use(ctx, token, j, c.arrived, out)
	return out.end(s.withTicket(j, err))
}

// ticketRequired refuses a job that needs a ticket and hands one out.
func (s *Server) ticketRequired(j *job.Job) error {
	token, err := s.tickets.Mint(j.Account)
	if err != nil {
		return err
	}
	e := refusal.New(refusal.TicketRequired, "this request runs at most once and needs a ticket")
	e.Ticket = token
	return e
}

// withTicket adds a fresh ticket to a refusal of a request that was not run.
func (s *Server) withTicket(j *job.Job, err error) error {
	if err == nil {
		return nil
	}
	e := *refusal.Of(err)
	if e.Outcome == ticket.NotRun {
		if token, err := s.tickets.Mint(j.Account); err == nil {
			e.Ticket = token
		}
	}
	return &e
}

// Execute runs a job and books what became of it.
func (s *Server) Execute(ctx context.Context, j *job.Job, arrived time.Time, guard runner.Guard, out job.Output) error {
	state := s.state()
	report, err := s.runner.Run(ctx, j, arrived, guard, out)
	d := audit.Decision{
		At: time.Now(), Request: j.ID, Account: j.Account, Class: j.Class, Target: j.Target,
		Versions: state.Versions(), Upstream: report.Upstream, Domain: report.Pool.Domain,
		Tries: report.Tries, Queued: plan.Duration(report.Queued),
		FirstToken: plan.Duration(report.FirstToken), Tokens: int(report.Tokens), Outcome: ticket.Ran,
	}
	if err != nil {
		e := refusal.Of(err)
		d.Code, d.Outcome = string(e.Code), e.Outcome
	}
	if holder, ok := state.HolderOf(j.Account); ok {
		d.Plan, d.Tier = holder.Plan.ID, holder.Plan.Tier
		target := holder.Plan.Targets[j.Class]
		d.Attained = err == nil && report.FirstToken <= target.FirstToken.Std() &&
			report.Between <= target.BetweenTokens.Std()
	}
	s.trail.Add(d)
	s.metrics.RecordDecision(&d, int(report.Wasted))
	return err
}
