package fault

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"syscall"
	"testing"
	"time"

	"mulberrydyke/admin"
	"mulberrydyke/load"
	"mulberrydyke/plan"
	"mulberrydyke/setting"
	"mulberrydyke/standin"
)

var binary string

// TestMain builds the program whose processes the tests start.
func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "mulberrydyke")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "mulberrydyke")
	if out, err := exec.Command("go", "build", "-o", binary, "../cmd/mulberrydyke").CombinedOutput(); err != nil {
		panic(string(out))
	}
	status := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(status)
}

// process is one entry host.
type process struct {
	id                        plan.HostID
	domain                    int
	callers, operators, peers string
	settings                  string
	command                   *exec.Cmd
	exited                    chan struct{}
	// failure is how the process ended, once exited is closed.
	failure error
	log     *bytes.Buffer
}

// fleet is a set of real hosts. Each failure domain reaches the platform, the
// hosts and the upstreams through proxies of its own.
type fleet struct {
	t         *testing.T
	profile   load.Profile
	platforms []*standin.Platform
	engines   []*standin.Engine
	service   *standin.Service
	hosts     []*process
	// links holds the proxies by source domain and target.
	links     map[link]*Proxy
	versions  plan.Versions
	plans     *plan.Plans
	entitled  *plan.Entitlements
	upstreams []plan.Upstream
	client    *http.Client
	domains   int
}

type link struct {
	from int
	to   string
}

type fleetOptions struct {
	domains, hosts, engines int
	engine                  standin.EngineOptions
	silence                 time.Duration
}

func defaultOptions() fleetOptions {
	return fleetOptions{domains: 1, hosts: 3, engines: 2, engine: standin.DefaultEngineOptions(""), silence: 2 * time.Second}
}

// must fails the test on an error.
func must[T any](t *testing.T, v T, err error) T {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
	return v
}

func newFleet(t *testing.T, o fleetOptions) *fleet {
	t.Helper()
	f := &fleet{
		t: t, profile: load.Profiles()["blue-mahoe"], links: map[link]*Proxy{},
		service: standin.NewService("press-1"), domains: o.domains,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
	f.plans, f.entitled = f.profile.Lists()
	f.startUpstreams(o)
	for d := range o.domains {
		for i := range o.hosts {
			f.hosts = append(f.hosts, f.newProcess(d, i))
		}
	}
	for range o.domains {
		f.platforms = append(f.platforms, standin.NewPlatform())
	}
	f.publishAll()
	for _, h := range f.hosts {
		f.writeSettings(h, o)
		f.start(h)
	}
	f.awaitReady()
	f.awaitOwnLists()
	return f
}

// awaitOwnLists starts all hosts anew until each has the addresses of its own
// domain's proxies. The domains' platforms publish other addresses under one
// version, so a host that hears of a version from another domain before it has
// read its platform takes up that domain's.
func (f *fleet) awaitOwnLists() {
	const tries = 20
	for range tries {
		if !slices.ContainsFunc(f.hosts, func(h *process) bool { return !f.hasOwnLists(h) }) {
			return
		}
		for _, h := range f.hosts {
			f.kill(h)
		}
		for _, h := range f.hosts {
			f.start(h)
		}
		f.awaitReady()
	}
	f.t.Fatal("hosts keep another domain's lists")
}

func (f *fleet) hasOwnLists(h *process) bool {
	response, err := f.client.Get("http://" + h.operators + "/v1/lists")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	var lists admin.Lists
	if err := json.NewDecoder(response.Body).Decode(&lists); err != nil {
		return false
	}
	for _, u := range lists.Upstreams {
		if u.Address != f.via(h.domain, string(u.ID), "") {
			return false
		}
	}
	for _, x := range lists.Hosts {
		if x.Peer != f.via(h.domain, string(x.ID), "") {
			return false
		}
	}
	return true
}

func (f *fleet) serve(s interface {
	Serve(string) (string, func(), error)
}) string {
	address, cleanup, err := s.Serve("127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(cleanup)
	return address
}

func (f *fleet) startUpstreams(o fleetOptions) {
	for d := range o.domains {
		for e := range o.engines {
			options := o.engine
			options.Name = fmt.Sprintf("engine-%d-%d", d+1, e+1)
			engine, cleanup := standin.NewEngine(options)
			f.t.Cleanup(cleanup)
			f.engines = append(f.engines, engine)
			f.upstreams = append(f.upstreams, plan.Upstream{
				ID: plan.UpstreamID(options.Name), Address: f.serve(engine), Domain: load.DomainID(d), Kind: plan.Engine,
				Models: []plan.ModelID{f.profile.Model}, Slots: options.MaxBatchSize, State: plan.Live,
			})
		}
	}
	f.upstreams = append(f.upstreams, plan.Upstream{
		ID: "press-1", Address: f.serve(f.service), Domain: load.DomainID(0), Kind: plan.PlainService, Service: "press", Slots: 8, State: plan.Live,
	})
}

func (f *fleet) newProcess(domain, i int) *process {
	p := &process{id: plan.HostID(fmt.Sprintf("host-%d-%d", domain+1, i+1)), domain: domain}
	for _, a := range []*string{&p.callers, &p.operators, &p.peers} {
		address, err := load.FreeAddress()
		*a = must(f.t, address, err)
	}
	return p
}

// via returns the address under which a domain reaches a target.
func (f *fleet) via(from int, name, target string) string {
	key := link{from, name}
	if f.links[key] == nil {
		proxy, cleanup, err := NewProxy(target)
		if err != nil {
			f.t.Fatal(err)
		}
		f.t.Cleanup(cleanup)
		f.links[key] = proxy
	}
	return f.links[key].Address()
}

// publishAll publishes all lists in each domain's platform.
func (f *fleet) publishAll() {
	f.versions = plan.Versions{Plans: 1, Entitlements: 1}
	for _, p := range f.platforms {
		p.PublishList(plan.KindPlans, f.plans)
		p.PublishList(plan.KindEntitlements, f.entitled)
	}
	f.publishUpstreams()
	f.publishHosts()
}

// publishUpstreams publishes the upstreams under their domains' addresses.
func (f *fleet) publishUpstreams() {
	f.versions.Upstreams++
	for d, p := range f.platforms {
		list := plan.Upstreams{Version: f.versions.Upstreams}
		for _, u := range f.upstreams {
			u.Address = f.via(d, string(u.ID), u.Address)
			list.Upstreams = append(list.Upstreams, u)
		}
		p.PublishList(plan.KindUpstreams, list)
	}
}

func (f *fleet) publishHosts() {
	f.versions.Hosts++
	for d, p := range f.platforms {
		list := plan.Hosts{Version: f.versions.Hosts}
		for _, h := range f.hosts {
			list.Hosts = append(list.Hosts, plan.Host{
				ID: h.id, Peer: f.via(d, string(h.id), h.peers), Domain: load.DomainID(h.domain), Region: "region-1", State: plan.Live,
			})
		}
		p.PublishList(plan.KindHosts, list)
	}
}

func (f *fleet) writeSettings(h *process, o fleetOptions) {
	bounds := setting.DefaultBounds()
	bounds.StreamIdleTimeout = plan.Duration(o.silence)
	s := setting.Host{
		ID: h.id, Domain: load.DomainID(h.domain), Region: "region-1",
		Listen:  setting.Listen{Callers: h.callers, Operators: h.operators, Peers: h.peers},
		PeerKey: load.PeerKey, Bounds: bounds,
	}
	address := ""
	if l := f.links[link{h.domain, "platform"}]; l != nil {
		address = l.Address()
	} else {
		address = f.via(h.domain, "platform", f.serve(f.platforms[h.domain]))
	}
	s.Platform = []string{address}
	for _, other := range f.hosts {
		if other.domain == h.domain && other != h {
			s.Peers = append(s.Peers, f.via(h.domain, string(other.id), other.peers))
		}
	}
	raw, err := json.Marshal(s)
	h.settings = filepath.Join(f.t.TempDir(), "settings.jsonc")
	if err == nil {
		err = os.WriteFile(h.settings, raw, 0o600)
	}
	if err != nil {
		f.t.Fatal(err)
	}
}

func (f *fleet) start(h *process) {
	h.log = &bytes.Buffer{}
	h.command = exec.Command(binary, "serve", h.settings)
	h.command.Stderr = h.log
	// The host goes with the tests, also when those are killed.
	h.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.command.Start(); err != nil {
		f.t.Fatal(err)
	}
	h.exited = make(chan struct{})
	command, exited := h.command, h.exited
	go func() {
		h.failure = command.Wait()
		close(exited)
	}()
	f.t.Cleanup(func() { _ = command.Process.Kill() })
}

// wait waits until the process has ended and says how.
func (h *process) wait() error {
	<-h.exited
	return h.failure
}

func (h *process) signal(s syscall.Signal) { _ = h.command.Process.Signal(s) }

// kill ends a host at once and waits until it is gone.
func (f *fleet) kill(h *process) {
	h.signal(syscall.SIGKILL)
	_ = h.wait()
}

// eventually polls until a condition holds, and fails the test after the bound.
func (f *fleet) eventually(bound time.Duration, what string, holds func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(bound); ; {
		if holds() {
			return
		}
		if time.Now().After(deadline) {
			f.t.Fatalf("not within %s: %s", bound, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (f *fleet) awaitReady() {
	f.t.Helper()
	const bound = 20 * time.Second
	for _, h := range f.hosts {
		f.eventually(bound, string(h.id)+" is ready and sees its domain", func() bool {
			s, ok := f.status(h)
			live := 0
			for _, x := range s.Hosts {
				if x.Identity.Domain == s.Host.Domain && x.Condition == "live" {
					live++
				}
			}
			return ok && s.Ready && live == len(f.hosts)/f.domains-1
		})
	}
}

func (f *fleet) status(h *process) (admin.Status, bool) {
	var s admin.Status
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.operators+"/v1/status", nil)
	response, err := f.client.Do(request)
	if err != nil {
		return s, false
	}
	defer response.Body.Close()
	return s, json.NewDecoder(response.Body).Decode(&s) == nil
}

// call is a request as a test sends it.
type call struct {
	class, ticket, prompt string
	output                int
	stream                bool
	// service is the path of a plain service's call, in place of a model.
	service string
	account plan.AccountID
}

// answer is what a caller got.
type answer struct {
	status int
	body   string
	err    error
	refusal
}

type refusal struct {
	Code    string `json:"code"`
	Outcome string `json:"outcome"`
	Ticket  string `json:"ticket"`
}

// account returns an account of the profile's first class.
func (f *fleet) account() plan.AccountID {
	return f.plans.Accounts[0].ID
}

// send sends a request to a host and reads all that comes back.
func (f *fleet) send(h *process, c call) answer {
	path, body := "/v1/chat/completions", load.ChatBody(f.profile.Model, c.prompt, c.output, c.stream)
	if c.service != "" {
		path, body = "/v1/services/press"+c.service, []byte(c.prompt)
	}
	const bound = time.Minute
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.callers+path, bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	if c.account == "" {
		c.account = f.account()
	}
	request.Header.Set("Authorization", "Bearer "+load.AccountKey(c.account))
	for name, value := range map[string]string{"X-Class": c.class, "X-Ticket": c.ticket} {
		if value != "" {
			request.Header.Set(name, value)
		}
	}
	response, err := f.client.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	out := answer{status: response.StatusCode, body: string(raw), err: err}
	if response.StatusCode != http.StatusOK {
		var e struct{ Error refusal }
		_ = json.Unmarshal(raw, &e)
		out.refusal = e.Error
	}
	return out
}

// ticket takes a ticket from a host.
func (f *fleet) ticket(h *process, c call) string {
	f.t.Helper()
	c.ticket = ""
	got := f.send(h, c)
	if got.Code != "ticket-required" || got.Outcome != "not-run" || got.Ticket == "" {
		f.t.Fatalf("want a refusal with a ticket, got %d %s %v", got.status, got.body, got.err)
	}
	return got.Ticket
}

// text returns the whole answer that an engine gives to a prompt.
func text(prompt string, output int) string {
	var b bytes.Buffer
	for i := range output {
		b.WriteString(standin.TokenText(standin.ContentHash(prompt), i))
	}
	return b.String()
}

// content returns the text of a whole answer.
func content(t *testing.T, a answer) string {
	t.Helper()
	var whole struct {
		Choices []struct{ Message struct{ Content string } }
	}
	if err := json.Unmarshal([]byte(a.body), &whole); err != nil || len(whole.Choices) != 1 {
		t.Fatalf("no whole answer: status %d, %v, %v: %.300s", a.status, a.err, err, a.body)
	}
	return whole.Choices[0].Message.Content
}

// runs counts the runs of a prompt at all engines and at the service.
func (f *fleet) runs(prompt string) int {
	mark := standin.ContentHash(prompt)
	n := f.service.Ledger().CountRuns(mark)
	for _, e := range f.engines {
		n += e.Ledger().CountRuns(mark)
	}
	return n
}
