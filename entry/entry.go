// Package entry implements the HTTP API for callers: completions in the format
// that inference engines commonly use, plain services, and tickets. The API is
// documented in docs/API.md.
package entry

import (
	"context"
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

// Request headers that callers may send.
const (
	ClassHeader    = "X-Class"
	DeadlineHeader = "X-Deadline"
	TicketHeader   = "X-Ticket"
)

// maxServiceSegments limits the path segments that follow the service's ID in a
// call of a plain service.
const maxServiceSegments = 6

// maxTicketsPerCall limits the tickets that one call can request.
const maxTicketsPerCall = 100

// Server handles the HTTP requests of callers.
type Server struct {
	state      func() *plan.State
	listsReady func() bool
	runner     *runner.Runner
	tickets    *relay.Relay
	bounds     setting.Bounds
	metrics    *metric.Set
	auditTrail *audit.Trail
	stopping   atomic.Bool
	running    atomic.Int64
}

// Options configures a Server.
type Options struct {
	State func() *plan.State
	// ListsReady reports whether the lists in force are at least as new as the
	// newest that could be found when the host started.
	ListsReady func() bool
	Runner     *runner.Runner
	Tickets    *relay.Relay
	Bounds     setting.Bounds
	Metrics    *metric.Set
	AuditTrail *audit.Trail
}

// NewServer returns a server that accepts requests.
func NewServer(o Options) *Server {
	return &Server{
		state: o.State, listsReady: o.ListsReady, runner: o.Runner, tickets: o.Tickets,
		bounds: o.Bounds, metrics: o.Metrics, auditTrail: o.AuditTrail,
	}
}

// Running returns the number of requests in progress.
func (s *Server) Running() int64 { return s.running.Load() }

// Stop makes the server refuse new requests. Requests in progress continue.
func (s *Server) Stop() { s.stopping.Store(true) }

// Handler returns the handler for all routes that callers may use.
func (s *Server) Handler() (http.Handler, error) {
	routes := []rest.Route{
		{Method: http.MethodPost, Path: "/v1/chat/completions", Handler: s.authenticated(s.serveCompletion)},
		{Method: http.MethodPost, Path: "/v1/completions", Handler: s.authenticated(s.serveCompletion)},
		{Method: http.MethodGet, Path: "/v1/models", Handler: s.authenticated(s.listModels)},
		{Method: http.MethodPost, Path: "/v1/tickets", Handler: s.authenticated(s.issueTickets)},
	}
	path := "/v1/services/:service"
	for depth := range maxServiceSegments {
		path += "/:p" + string(rune('0'+depth))
		for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete} {
			routes = append(routes, rest.Route{Method: method, Path: path, Handler: s.authenticated(s.serveService)})
		}
	}
	return web.Handler(routes, func(w http.ResponseWriter, _ *http.Request) {
		s.refuse(w, refusal.New(refusal.NotFound, "no such call"))
	})
}

// callContext holds one HTTP request and, once it is authenticated, its account.
type callContext struct {
	w       http.ResponseWriter
	r       *http.Request
	arrived time.Time
	state   *plan.State
	holder  plan.Holder
	// ticketLookedUp is set just before the request is passed to the ticket's home,
	// which looks the ticket up.
	ticketLookedUp bool
}

// authenticated returns a handler that authenticates requests, passes them to
// next, and counts those in progress.
func (s *Server) authenticated(next func(*callContext) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.running.Add(1)
		defer s.running.Add(-1)
		c := &callContext{w: w, r: r, arrived: time.Now(), state: s.state()}
		if err := s.authenticate(c); err != nil {
			s.refuse(w, c.adjustOutcome(err))
			return
		}
		if err := next(c); err != nil {
			s.refuse(w, c.adjustOutcome(refusal.FromError(err)))
		}
	}
}

// adjustOutcome returns the refusal with an outcome that holds for the request's
// ticket. If the request is refused before its ticket is looked up, an earlier
// use of the ticket may have run, so the outcome NotRun becomes Unknown.
func (c *callContext) adjustOutcome(refused *refusal.Error) *refusal.Error {
	if c.ticketLookedUp || refused.Outcome != ticket.NotRun || c.r.Header.Get(TicketHeader) == "" {
		return refused
	}
	adjusted := *refused
	adjusted.Outcome = ticket.Unknown
	return &adjusted
}

// authenticate determines the account by the bearer token. It refuses requests
// while the host is stopping or has no lists in force.
func (s *Server) authenticate(c *callContext) *refusal.Error {
	if s.stopping.Load() {
		return refusal.New(refusal.Stopping, "the host is stopping").WithRetryAfter(time.Second)
	}
	versions := c.state.Versions()
	if !s.listsReady() || versions.Plans == 0 || versions.Entitlements == 0 {
		return refusal.New(refusal.NoLists, "no lists are in force yet").WithRetryAfter(time.Second)
	}
	key, ok := strings.CutPrefix(c.r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return refusal.New(refusal.BadKey, "no bearer token")
	}
	c.holder, ok = c.state.HolderByKey(key)
	if !ok {
		return refusal.New(refusal.BadKey, "no account has this key")
	}
	return nil
}

// refuse counts a refusal and sends it as the response. It must be called before
// any part of a response is written.
func (s *Server) refuse(w http.ResponseWriter, refused *refusal.Error) {
	s.metrics.RecordRefusal(string(refused.Code))
	writeRefusal(w, refused)
}

// serveCompletion handles a completion request.
func (s *Server) serveCompletion(c *callContext) error {
	body, err := s.readBody(c)
	if err != nil {
		return err
	}
	j := s.newJob(c)
	j.Path = c.r.URL.Path
	j.Chat = strings.HasSuffix(j.Path, "/chat/completions")
	if err := j.ParseCompletion(body); err != nil {
		return refusal.New(refusal.BadRequest, err.Error())
	}
	if err := s.checkModel(c, j); err != nil {
		return err
	}
	class, ok := c.state.Class(j.Class)
	if !ok || !c.holder.MayUseClass(j.Class) {
		return refusal.New(refusal.ClassNotAllowed, "class "+string(j.Class))
	}
	j.Idempotent = class.Idempotent
	return s.run(c, j)
}

// checkModel checks that the account may use the job's model. It distinguishes
// models that other accounts may use from unknown ones.
func (s *Server) checkModel(c *callContext, j *job.Job) error {
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

// serveService handles a call of a plain service.
func (s *Server) serveService(c *callContext) error {
	id := plan.ServiceID(pathvar.Vars(c.r)["service"])
	path := strings.TrimPrefix(c.r.URL.Path, "/v1/services/"+string(id))
	escaped := (&url.URL{Path: path}).EscapedPath()
	if cleaned := gopath.Clean(path); cleaned != strings.TrimSuffix(path, "/") {
		return refusal.New(refusal.BadRequest, "the path must not contain empty or relative segments")
	}
	endpoint, ok := c.state.Endpoint(id, c.r.Method, path)
	if !ok {
		return refusal.New(refusal.NotFound, "no such call of service "+string(id))
	}
	if !c.holder.MayUseService(id) {
		return refusal.New(refusal.ServiceNotAllowed, "service "+string(id))
	}
	body, err := s.readBody(c)
	if err != nil {
		return err
	}
	j := s.newJob(c)
	if !c.holder.MayUseClass(j.Class) {
		return refusal.New(refusal.ClassNotAllowed, "class "+string(j.Class))
	}
	j.Kind, j.Target, j.Method, j.Body = plan.PlainService, string(id), c.r.Method, body
	j.Path, j.ContentType = escaped, c.r.Header.Get("Content-Type")
	if c.r.URL.RawQuery != "" {
		j.Path += "?" + c.r.URL.RawQuery
	}
	j.Idempotent = endpoint.Idempotent
	return s.run(c, j)
}

// newJob returns a job with a new ID and the class and deadline from the
// headers. The default class is the first one that the account may use. An
// invalid deadline is ignored.
func (s *Server) newJob(c *callContext) *job.Job {
	j := &job.Job{ID: uuid.NewString(), Account: c.holder.Account.ID, Class: plan.ClassID(c.r.Header.Get(ClassHeader))}
	if j.Class == "" && len(c.holder.Entitlement.Classes) > 0 {
		j.Class = c.holder.Entitlement.Classes[0]
	}
	if patience, err := time.ParseDuration(c.r.Header.Get(DeadlineHeader)); err == nil && patience > 0 {
		j.Patience = patience
	}
	return j
}

// run runs a job and writes its answer. A job that is not idempotent runs under
// the ticket from the request's header.
func (s *Server) run(c *callContext, j *job.Job) error {
	token := ticket.Token(c.r.Header.Get(TicketHeader))
	if !j.Idempotent && token == "" {
		return s.refuseWithTicket(j)
	}
	out := newCallerOutput(c, j, s.bounds.StreamIdleTimeout.Std())
	ctx, cancel := context.WithCancel(c.r.Context())
	defer cancel()
	if j.Idempotent {
		err := s.Execute(ctx, j, c.arrived, nil, out)
		return out.finish(err)
	}
	c.ticketLookedUp = true
	err := s.tickets.Use(ctx, token, j, c.arrived, out)
	return out.finish(s.withNewTicket(j, err))
}

// refuseWithTicket returns a refusal that states that the job needs a ticket and
// contains a new one.
func (s *Server) refuseWithTicket(j *job.Job) error {
	token, err := s.tickets.Issue(j.Account)
	if err != nil {
		return err
	}
	refused := refusal.New(refusal.TicketRequired, "this request runs at most once and needs a ticket")
	refused.Ticket = token
	return refused
}

// withNewTicket converts err to a refusal and adds a new ticket if the request
// did not run.
func (s *Server) withNewTicket(j *job.Job, err error) error {
	if err == nil {
		return nil
	}
	refused := *refusal.FromError(err)
	if refused.Outcome == ticket.NotRun {
		if token, err := s.tickets.Issue(j.Account); err == nil {
			refused.Ticket = token
		}
	}
	return &refused
}

// Execute runs a job and records the result in the audit trail and the metrics.
func (s *Server) Execute(ctx context.Context, j *job.Job, arrived time.Time, guard runner.Guard, out job.Output) error {
	state := s.state()
	report, err := s.runner.Run(ctx, j, arrived, guard, out)
	decision := audit.Decision{
		At: time.Now(), Request: j.ID, Account: j.Account, Class: j.Class, Target: j.Target,
		Versions: state.Versions(), Upstream: report.Upstream, Domain: report.Pool.Domain,
		Attempts: report.Attempts, Queued: plan.Duration(report.Queued),
		FirstToken: plan.Duration(report.FirstToken), Tokens: int(report.Tokens), Outcome: ticket.Ran,
	}
	if err != nil {
		refused := refusal.FromError(err)
		decision.Code, decision.Outcome = string(refused.Code), refused.Outcome
	}
	if holder, ok := state.HolderByID(j.Account); ok {
		decision.Plan, decision.Tier = holder.Plan.ID, holder.Plan.Tier
		target := holder.Plan.Targets[j.Class]
		decision.Attained = err == nil && report.FirstToken <= target.FirstToken.Std() &&
			report.BetweenTokens <= target.BetweenTokens.Std()
	}
	s.auditTrail.Add(decision)
	s.metrics.RecordDecision(&decision, int(report.Wasted))
	return err
}
