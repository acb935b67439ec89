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
	"mulberrydyke/member"
	"mulberrydyke/plan"
	"mulberrydyke/setting"
	"mulberrydyke/standin"
)

// binaryPath is the path of the built mulberrydyke program.
var binaryPath string

// TestMain builds the mulberrydyke program, which the tests run as hosts.
func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "mulberrydyke")
	if err != nil {
		panic(err)
	}
	binaryPath = filepath.Join(dir, "mulberrydyke")
	if out, err := exec.Command("go", "build", "-o", binaryPath, "../cmd/mulberrydyke").CombinedOutput(); err != nil {
		panic(string(out))
	}
	exitCode := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(exitCode)
}

// host is one entry host. Its process may be restarted during a test.
type host struct {
	id                                          plan.HostID
	domain                                      int
	callerAddress, operatorAddress, peerAddress string
	settingsPath                                string
	cmd                                         *exec.Cmd
	// exited is closed once the current process has exited.
	exited chan struct{}
	// exitErr is the result of the wait for the process. It is valid once exited is
	// closed.
	exitErr error
	// logOutput holds what the current process wrote to standard error.
	logOutput *bytes.Buffer
}

// fleet is a set of hosts that run as real processes. The hosts of each failure domain
// reach the platform, other hosts and upstreams through proxies of their own, so that
// tests can inject faults on each link.
type fleet struct {
	t         *testing.T
	profile   load.Profile
	platforms []*standin.Platform
	engines   []*standin.Engine
	service   *standin.Service
	hosts     []*host
	// proxies holds the proxy of each link.
	proxies      map[proxyKey]*Proxy
	versions     plan.Versions
	plans        *plan.Plans
	entitlements *plan.Entitlements
	upstreams    []plan.Upstream
	client       *http.Client
	domainCount  int
}

// proxyKey identifies a link by its source domain and the ID of the host or upstream it
// leads to, or "platform".
type proxyKey struct {
	fromDomain int
	target     string
}

// fleetOptions is the size of a fleet, the options of its engines, and the stream idle
// timeout in the settings of its hosts.
type fleetOptions struct {
	domainCount, hostsPerDomain, enginesPerDomain int
	engineOptions                                 standin.EngineOptions
	streamIdleTimeout                             time.Duration
}

// defaultOptions returns one domain with three hosts and two engines.
func defaultOptions() fleetOptions {
	return fleetOptions{domainCount: 1, hostsPerDomain: 3, enginesPerDomain: 2, engineOptions: standin.DefaultEngineOptions(""), streamIdleTimeout: 2 * time.Second}
}

// must returns v. It fails the test if err is not nil.
func must[T any](t *testing.T, v T, err error) T {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// startTimeout is the time within which the hosts of a new fleet must know their own lists,
// and each other.
const startTimeout = 20 * time.Second

// newFleet starts upstreams, platforms and hosts, and waits until all hosts are ready.
func newFleet(t *testing.T, o fleetOptions) *fleet {
	t.Helper()
	f := &fleet{
		t: t, profile: load.Profiles()["blue-mahoe"], proxies: map[proxyKey]*Proxy{},
		service: standin.NewService("press-1"), domainCount: o.domainCount,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
	f.plans, f.entitlements = f.profile.Lists()
	f.startUpstreams(o)
	for d := range o.domainCount {
		for i := range o.hostsPerDomain {
			f.hosts = append(f.hosts, f.newHost(d, i))
		}
	}
	for range o.domainCount {
		f.platforms = append(f.platforms, standin.NewPlatform())
	}
	f.publishAll()
	// The platforms of the domains publish different addresses under the same version, so a
	// host must not get the lists of another domain before it has read its own.
	f.setPeerLinks(Disconnect)
	for _, h := range f.hosts {
		f.writeSettings(h, o)
		f.start(h)
	}
	f.awaitReady()
	f.eventually(startTimeout, "all hosts use the lists of their own domains", f.allHaveOwnLists)
	f.setPeerLinks(Pass)
	f.eventually(startTimeout, "all hosts know the other domains", f.knowOtherDomains)
	return f
}

// setPeerLinks sets the mode of all links from hosts to hosts of other domains.
func (f *fleet) setPeerLinks(mode Mode) {
	for key, proxy := range f.proxies {
		isHost := slices.ContainsFunc(f.hosts, func(h *host) bool { return string(h.id) == key.target })
		if isHost && f.domainOf(key.target) != key.fromDomain {
			proxy.SetMode(mode)
		}
	}
}

// allHaveOwnLists reports whether each host uses the addresses of its own domain's proxies.
func (f *fleet) allHaveOwnLists() bool {
	return !slices.ContainsFunc(f.hosts, func(h *host) bool { return !f.hasOwnLists(h) })
}

// knowOtherDomains reports whether each host knows a live host in every domain.
func (f *fleet) knowOtherDomains() bool {
	for _, h := range f.hosts {
		s, ok := f.status(h)
		domains := map[plan.DomainID]bool{load.DomainID(h.domain): true}
		for _, peer := range s.Hosts {
			if peer.Condition == member.Live {
				domains[peer.Identity.Domain] = true
			}
		}
		if !ok || len(domains) < f.domainCount {
			return false
		}
	}
	return true
}

// hasOwnLists reports whether a host uses the addresses of its own domain's proxies.
func (f *fleet) hasOwnLists(h *host) bool {
	response, err := f.client.Get("http://" + h.operatorAddress + "/v1/lists")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	var lists admin.Lists
	if err := json.NewDecoder(response.Body).Decode(&lists); err != nil {
		return false
	}
	for _, upstream := range lists.Upstreams {
		if upstream.Address != f.proxyAddress(h.domain, string(upstream.ID), "") {
			return false
		}
	}
	for _, listed := range lists.Hosts {
		if listed.Peer != f.proxyAddress(h.domain, string(listed.ID), "") {
			return false
		}
	}
	return true
}

// serve starts a server on a loopback address, which it returns.
func (f *fleet) serve(server interface {
	Serve(string) (string, func(), error)
}) string {
	address, cleanup, err := server.Serve("127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(cleanup)
	return address
}

// startUpstreams starts the engines of each domain and one plain service.
func (f *fleet) startUpstreams(o fleetOptions) {
	for d := range o.domainCount {
		for e := range o.enginesPerDomain {
			options := o.engineOptions
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

// newHost reserves addresses for a host without starting it.
func (f *fleet) newHost(domain, hostNumber int) *host {
	h := &host{id: plan.HostID(fmt.Sprintf("host-%d-%d", domain+1, hostNumber+1)), domain: domain}
	for _, field := range []*string{&h.callerAddress, &h.operatorAddress, &h.peerAddress} {
		address, err := load.FreeAddress()
		*field = must(f.t, address, err)
	}
	return h
}

// proxyAddress returns the address of the proxy through which a domain reaches a target.
// On first use it starts the proxy, which forwards to the given address.
func (f *fleet) proxyAddress(fromDomain int, target, address string) string {
	key := proxyKey{fromDomain, target}
	if f.proxies[key] == nil {
		proxy, cleanup, err := NewProxy(address)
		if err != nil {
			f.t.Fatal(err)
		}
		f.t.Cleanup(cleanup)
		f.proxies[key] = proxy
	}
	return f.proxies[key].Address()
}

// publishAll publishes the first version of all lists on the platform of each domain.
func (f *fleet) publishAll() {
	f.versions = plan.Versions{Plans: 1, Entitlements: 1}
	for _, p := range f.platforms {
		p.PublishList(plan.KindPlans, f.plans)
		p.PublishList(plan.KindEntitlements, f.entitlements)
	}
	f.publishUpstreams()
	f.publishHosts()
}

// publishUpstreams publishes a new version of the upstreams on each platform, with the
// addresses of that domain's proxies.
func (f *fleet) publishUpstreams() {
	f.versions.Upstreams++
	for d, p := range f.platforms {
		list := plan.Upstreams{Version: f.versions.Upstreams}
		for _, u := range f.upstreams {
			u.Address = f.proxyAddress(d, string(u.ID), u.Address)
			list.Upstreams = append(list.Upstreams, u)
		}
		p.PublishList(plan.KindUpstreams, list)
	}
}

// publishHosts publishes a new version of the hosts on each platform, with the addresses
// of that domain's proxies.
func (f *fleet) publishHosts() {
	f.versions.Hosts++
	for d, p := range f.platforms {
		list := plan.Hosts{Version: f.versions.Hosts}
		for _, h := range f.hosts {
			list.Hosts = append(list.Hosts, plan.Host{
				ID: h.id, Peer: f.proxyAddress(d, string(h.id), h.peerAddress), Domain: load.DomainID(h.domain), Region: "region-1", State: plan.Live,
			})
		}
		p.PublishList(plan.KindHosts, list)
	}
}

// writeSettings writes the settings file of a host. On the first call for a domain it
// also starts the domain's platform and the proxy to it.
func (f *fleet) writeSettings(h *host, o fleetOptions) {
	bounds := setting.DefaultBounds()
	bounds.StreamIdleTimeout = plan.Duration(o.streamIdleTimeout)
	settings := setting.Host{
		ID: h.id, Domain: load.DomainID(h.domain), Region: "region-1",
		Listen:  setting.Listen{Callers: h.callerAddress, Operators: h.operatorAddress, Peers: h.peerAddress},
		PeerKey: load.PeerKey, Bounds: bounds,
	}
	address := ""
	if proxy := f.proxies[proxyKey{h.domain, "platform"}]; proxy != nil {
		address = proxy.Address()
	} else {
		address = f.proxyAddress(h.domain, "platform", f.serve(f.platforms[h.domain]))
	}
	settings.Platform = []string{address}
	for _, other := range f.hosts {
		if other.domain == h.domain && other != h {
			settings.Peers = append(settings.Peers, f.proxyAddress(h.domain, string(other.id), other.peerAddress))
		}
	}
	raw, err := json.Marshal(settings)
	h.settingsPath = filepath.Join(f.t.TempDir(), "settings.jsonc")
	if err == nil {
		err = os.WriteFile(h.settingsPath, raw, 0o600)
	}
	if err != nil {
		f.t.Fatal(err)
	}
}

// start starts a new process of a host.
func (f *fleet) start(h *host) {
	h.logOutput = &bytes.Buffer{}
	h.cmd = exec.Command(binaryPath, "serve", h.settingsPath)
	h.cmd.Stderr = h.logOutput
	// The kernel kills the host when the test process exits, even if that is killed.
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	h.exited = make(chan struct{})
	cmd, exited := h.cmd, h.exited
	go func() {
		h.exitErr = cmd.Wait()
		close(exited)
	}()
	f.t.Cleanup(func() { _ = cmd.Process.Kill() })
}

// wait waits until the process has exited and returns its exit error.
func (h *host) wait() error {
	<-h.exited
	return h.exitErr
}

// signal sends a signal to the current process.
func (h *host) signal(s syscall.Signal) { _ = h.cmd.Process.Signal(s) }

// kill kills a host and waits until its process has exited.
func (f *fleet) kill(h *host) {
	h.signal(syscall.SIGKILL)
	_ = h.wait()
}

// eventually polls until holds returns true, and fails the test after the timeout.
func (f *fleet) eventually(timeout time.Duration, condition string, holds func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(timeout); ; {
		if holds() {
			return
		}
		if time.Now().After(deadline) {
			f.t.Fatalf("condition not met within %s: %s", timeout, condition)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// awaitReady waits until each host is ready and knows all hosts of its domain as live.
func (f *fleet) awaitReady() {
	f.t.Helper()
	const timeout = 20 * time.Second
	for _, h := range f.hosts {
		f.eventually(timeout, string(h.id)+" is ready and sees its domain", func() bool {
			s, ok := f.status(h)
			livePeers := 0
			for _, peer := range s.Hosts {
				if peer.Identity.Domain == s.Host.Domain && peer.Condition == "live" {
					livePeers++
				}
			}
			return ok && s.Ready && livePeers == len(f.hosts)/f.domainCount-1
		})
	}
}

// status returns the status of a host, and false if it does not respond.
func (f *fleet) status(h *host) (admin.Status, bool) {
	var s admin.Status
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.operatorAddress+"/v1/status", nil)
	response, err := f.client.Do(request)
	if err != nil {
		return s, false
	}
	defer response.Body.Close()
	return s, json.NewDecoder(response.Body).Decode(&s) == nil
}

// call describes a request that a test sends.
type call struct {
	class, ticket, prompt string
	outputTokens          int
	stream                bool
	// servicePath is the path of a request to the plain service, whose body is the
	// prompt. The request goes to a model if it is empty.
	servicePath string
	account     plan.AccountID
}

// callResult is the response or the error that a caller got.
type callResult struct {
	status int
	body   string
	err    error
	refusal
}

// refusal holds the fields of an error response that the tests check.
type refusal struct {
	Code    string `json:"code"`
	Outcome string `json:"outcome"`
	Ticket  string `json:"ticket"`
}

// defaultAccount returns an account that may use the first class of the profile.
func (f *fleet) defaultAccount() plan.AccountID {
	return f.plans.Accounts[0].ID
}

// send sends a request to a host and reads the response to its end.
func (f *fleet) send(h *host, c call) callResult {
	path, body := "/v1/chat/completions", load.ChatBody(f.profile.Model, c.prompt, c.outputTokens, c.stream)
	if c.servicePath != "" {
		path, body = "/v1/services/press"+c.servicePath, []byte(c.prompt)
	}
	const timeout = time.Minute
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.callerAddress+path, bytes.NewReader(body))
	if err != nil {
		return callResult{err: err}
	}
	if c.account == "" {
		c.account = f.defaultAccount()
	}
	request.Header.Set("Authorization", "Bearer "+load.AccountKey(c.account))
	for name, value := range map[string]string{"X-Class": c.class, "X-Ticket": c.ticket} {
		if value != "" {
			request.Header.Set(name, value)
		}
	}
	response, err := f.client.Do(request)
	if err != nil {
		return callResult{err: err}
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	result := callResult{status: response.StatusCode, body: string(raw), err: err}
	if response.StatusCode != http.StatusOK {
		var envelope struct{ Error refusal }
		_ = json.Unmarshal(raw, &envelope)
		result.refusal = envelope.Error
	}
	return result
}

// takeTicket sends a request without a ticket and returns the ticket that the refusal
// offers.
func (f *fleet) takeTicket(h *host, c call) string {
	f.t.Helper()
	c.ticket = ""
	result := f.send(h, c)
	if result.Code != "ticket-required" || result.Outcome != "not-run" || result.Ticket == "" {
		f.t.Fatalf("want a refusal with a ticket, got %d %s %v", result.status, result.body, result.err)
	}
	return result.Ticket
}

// expectedText returns the complete output of an engine for a prompt.
func expectedText(prompt string, outputTokens int) string {
	var b bytes.Buffer
	for i := range outputTokens {
		b.WriteString(standin.TokenText(standin.ContentHash(prompt), i))
	}
	return b.String()
}

// messageContent returns the message text of a complete response.
func messageContent(t *testing.T, r callResult) string {
	t.Helper()
	var completion struct {
		Choices []struct{ Message struct{ Content string } }
	}
	if err := json.Unmarshal([]byte(r.body), &completion); err != nil || len(completion.Choices) != 1 {
		t.Fatalf("incomplete response: status %d, %v, %v: %.300s", r.status, r.err, err, r.body)
	}
	return completion.Choices[0].Message.Content
}

// runCount returns how often a prompt ran at all engines and the service together.
func (f *fleet) runCount(prompt string) int {
	contentHash := standin.ContentHash(prompt)
	n := f.service.Ledger().CountRuns(contentHash)
	for _, e := range f.engines {
		n += e.Ledger().CountRuns(contentHash)
	}
	return n
}
