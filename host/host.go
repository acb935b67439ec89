// Package host assembles one entry host: its listeners, the lists in force, its view
// of the other hosts, its schedulers and its tickets. All hosts run the same code;
// their roles follow from which hosts are live.
package host

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"mulberrydyke/admin"
	"mulberrydyke/answer"
	"mulberrydyke/audit"
	"mulberrydyke/clock"
	"mulberrydyke/entry"
	"mulberrydyke/job"
	"mulberrydyke/member"
	"mulberrydyke/metric"
	"mulberrydyke/peer"
	"mulberrydyke/placement"
	"mulberrydyke/plan"
	"mulberrydyke/pool"
	"mulberrydyke/registry"
	"mulberrydyke/relay"
	"mulberrydyke/runner"
	"mulberrydyke/setting"
	"mulberrydyke/upstream"
	"mulberrydyke/web"
)

const (
	// auditTrailSize is the number of decisions kept for auditors.
	auditTrailSize = 2048
	// readinessNoticeDelay is how long a stopping host still accepts requests, so
	// that the load balancer notices that it is not ready.
	readinessNoticeDelay = time.Second
	// handoverNoticeTimeout limits the time from the start of the ticket handover
	// until all peers know the successor.
	handoverNoticeTimeout = 10 * time.Second
	// ticketKeyBytes is the length of the key that authenticates tickets.
	ticketKeyBytes = 32
)

// Host is a running entry host.
type Host struct {
	settings setting.Host
	log      *slog.Logger
	state    atomic.Pointer[plan.State]
	lists    *listManager
	fleet    *fleet
	// local runs the schedulers that this host is responsible for.
	local *placement.Server
	// fallback schedules a part of each pool while the pool's scheduler can't be
	// reached.
	fallback   *placement.Server
	placer     *placement.Client
	upstreams  *upstream.Set
	tickets    *relay.Relay
	entry      *entry.Server
	metrics    *metric.Set
	auditTrail *audit.Trail
	platform   *registry.Client

	callers, operators *web.Server
	peers              *peer.Server

	leaving atomic.Bool
	// lastHeartbeatRound is when the last round of heartbeats started.
	lastHeartbeatRound atomic.Pointer[time.Time]
	cancel             context.CancelFunc
	background         sync.WaitGroup
	cleanups           []func()
}

// Start starts a host with the given settings. The returned function stops it
// immediately and releases its resources, without waiting for requests or handing
// over tickets. Use Stop for a planned stop.
func Start(settings setting.Host, log *slog.Logger) (*Host, func(), error) {
	ctx, cancel := context.WithCancel(context.Background())
	h := &Host{settings: settings, log: log, cancel: cancel, metrics: metric.NewSet(), auditTrail: audit.NewTrail(auditTrailSize)}
	h.state.Store(plan.NewState())
	h.cleanups = append(h.cleanups, addProcessMemory(settings.Bounds))
	if err := h.build(ctx); err != nil {
		h.close()
		return nil, nil, err
	}
	return h, h.close, nil
}

// build creates the components in the order of their dependencies and starts the
// background goroutines and listeners.
func (h *Host) build(ctx context.Context) error {
	traffic := &peer.Traffic{}
	client, cleanup := peer.NewClient(h.settings.PeerKey, traffic)
	h.cleanups = append(h.cleanups, cleanup)
	handler := &peerHandler{host: h}
	peers, cleanup, err := peer.Listen(h.settings.Listen.Peers, h.settings.PeerKey, handler, traffic)
	if err != nil {
		return eris.Wrap(err, "listen for peers")
	}
	h.peers = peers
	h.cleanups = append(h.cleanups, cleanup)
	h.buildLists()
	incarnation, err := newIncarnation()
	if err != nil {
		return err
	}
	h.fleet = newFleet(member.Identity{
		ID: h.settings.ID, Incarnation: incarnation, Domain: h.settings.Domain,
		Region: h.settings.Region, Peer: peers.Address(),
	}, client)
	h.buildPlacement()
	if err := h.buildServing(incarnation); err != nil {
		return err
	}
	handler.ready.Store(true)
	h.startBackground(ctx)
	return h.listen(traffic)
}

// buildLists creates the upstream clients, the platform client and the list manager.
func (h *Host) buildLists() {
	malformed := &malformedRecorder{log: h.log, metrics: h.metrics}
	upstreams, cleanup := upstream.NewSet(h.settings.Bounds.StreamIdleTimeout.Std(),
		upstream.WithMalformedFunc(func(id plan.UpstreamID, err *answer.MalformedError) { malformed.record(time.Now(), id, err) }))
	h.upstreams = upstreams
	h.cleanups = append(h.cleanups, cleanup)
	client, cleanup := registry.NewClient(h.settings.Platform)
	h.platform = client
	h.cleanups = append(h.cleanups, cleanup)
	h.lists = newListManager(h)
}

// newIncarnation returns a random incarnation. It is never zero, since peers reject a
// heartbeat with a zero incarnation.
func newIncarnation() (member.Incarnation, error) {
	var raw [8]byte
	if _, err := rand.Read(raw[:]); err != nil {
		return 0, eris.Wrap(err, "generate an incarnation")
	}
	return member.Incarnation(binary.LittleEndian.Uint64(raw[:]) | 1), nil
}

// buildPlacement creates the schedulers and the client that obtains slots from them.
func (h *Host) buildPlacement() {
	fullLimit := func() float64 { return 1 }
	local, cleanup := placement.NewServer(h.State, fullLimit, h.gatherRuns)
	h.local = local
	h.cleanups = append(h.cleanups, cleanup)
	fallback, cleanup := placement.NewServer(h.State, h.fallbackLimitFraction, nil)
	h.fallback = fallback
	h.cleanups = append(h.cleanups, cleanup)
	placer, cleanup := placement.NewClient(h.fleet, local, fallback)
	h.placer = placer
	h.cleanups = append(h.cleanups, cleanup)
}

// fallbackLimitFraction returns the fraction of each upstream's limit that this host
// may use while it can't reach the pool's scheduler: an equal part for each listed
// host of the domain.
func (h *Host) fallbackLimitFraction() float64 {
	hostCount := 0
	for _, host := range h.State().Hosts.Hosts {
		if host.Domain == h.settings.Domain {
			hostCount++
		}
	}
	return 1 / float64(max(1, hostCount))
}

// buildServing creates the components that run requests and tickets.
func (h *Host) buildServing(incarnation member.Incarnation) error {
	ticketKey := make([]byte, ticketKeyBytes)
	if _, err := rand.Read(ticketKey); err != nil {
		return eris.Wrap(err, "generate the ticket key")
	}
	bounds := h.settings.Bounds
	requestRunner := runner.New(runner.Options{
		Host: h.settings.ID, Incarnation: uint64(incarnation), Domain: h.settings.Domain, OtherDomains: h.otherDomains,
		Placer: h.placer, Upstreams: h.upstreams, State: h.State, AwaitFreshState: h.awaitFreshState,
		MaxAnswerBytes: bounds.MaxAnswerBytes, RetryRatio: bounds.RetryRatio, Log: h.log,
	})
	tickets, cleanup := relay.New(relay.Options{
		Fleet: h.fleet, Run: h.runTicket, Key: ticketKey, Lifetime: bounds.TicketLifetime.Std(), MaxTicketBytes: bounds.MaxTicketBytes,
	})
	h.tickets = tickets
	h.cleanups = append(h.cleanups, cleanup)
	h.entry = entry.NewServer(entry.Options{
		State: h.State, ListsReady: h.lists.initialReadDone.Load, Runner: requestRunner, Tickets: tickets, Bounds: bounds, Metrics: h.metrics, AuditTrail: h.auditTrail,
	})
	return nil
}

// runTicket runs the job of a ticket.
func (h *Host) runTicket(ctx context.Context, ticketJob *job.Job, arrived time.Time, guard runner.Guard, out job.Output) error {
	return h.entry.Execute(ctx, ticketJob, arrived, guard, out)
}

// listen opens the listeners for callers and operators.
func (h *Host) listen(traffic *peer.Traffic) error {
	tlsConfig, err := h.loadTLSConfig()
	if err != nil {
		return err
	}
	callerHandler, err := h.entry.Handler()
	if err != nil {
		return eris.Wrap(err, "create the routes for callers")
	}
	h.callers, err = web.Listen(h.settings.Listen.Callers, callerHandler, h.callerLimiter(), tlsConfig)
	if err != nil {
		return eris.Wrap(err, "listen for callers")
	}
	h.cleanups = append(h.cleanups, h.callers.Close)
	h.registerGauges(traffic)
	operatorHandler, err := admin.Handler(&adminView{host: h})
	if err != nil {
		return eris.Wrap(err, "create the routes for operators")
	}
	h.operators, err = web.Listen(h.settings.Listen.Operators, operatorHandler, h.operatorLimiter(), tlsConfig)
	if err != nil {
		return eris.Wrap(err, "listen for operators")
	}
	h.cleanups = append(h.cleanups, h.operators.Close)
	return nil
}

// loadTLSConfig returns the TLS configuration of the listeners, or nil if the settings
// name no certificate.
func (h *Host) loadTLSConfig() (*tls.Config, error) {
	if h.settings.TLS == nil {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(h.settings.TLS.Certificate, h.settings.TLS.Key)
	if err != nil {
		return nil, eris.Wrap(err, "load the TLS certificate")
	}
	return &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS12}, nil
}

// registerGauges registers the metrics that are read on each scrape.
func (h *Host) registerGauges(traffic *peer.Traffic) {
	h.metrics.RegisterGauge("mulberrydyke_running_requests", func() float64 { return float64(h.entry.Running()) })
	h.metrics.RegisterGauge("mulberrydyke_platform_calls_total", func() float64 { return float64(h.platform.Calls()) })
	h.metrics.RegisterGauge("mulberrydyke_peer_received_bytes_total", func() float64 { return float64(traffic.In.Load()) })
	h.metrics.RegisterGauge("mulberrydyke_peer_sent_bytes_total", func() float64 { return float64(traffic.Out.Load()) })
	h.metrics.RegisterGauge("mulberrydyke_peer_calls_total", func() float64 { return float64(traffic.Calls.Load()) })
	for _, kind := range plan.ListKinds() {
		h.metrics.RegisterGauge(`mulberrydyke_list_version{list="`+string(kind)+`"}`, func() float64 {
			return float64(h.State().Versions().Of(kind))
		})
	}
}

// State returns the lists in force.
func (h *Host) State() *plan.State { return h.state.Load() }

// CallerAddress returns the address that the listener for callers is bound to.
func (h *Host) CallerAddress() string { return h.callers.Address() }

// OperatorAddress returns the address that the listener for operators is bound to.
func (h *Host) OperatorAddress() string { return h.operators.Address() }

// PeerAddress returns the address that the listener for peers is bound to.
func (h *Host) PeerAddress() string { return h.peers.Address() }

// Ready reports whether the load balancer may send requests to this host.
func (h *Host) Ready() bool {
	versions := h.State().Versions()
	return !h.leaving.Load() && h.lists.initialReadDone.Load() && versions.Plans > 0 && versions.Entitlements > 0
}

// Stop shuts the host down gracefully: it reports not ready to the load balancer and
// leaving to the peers, waits until every request in progress has ended, and hands
// its tickets to a successor. The context limits the wait.
func (h *Host) Stop(ctx context.Context) error {
	if h.leaving.Swap(true) {
		return nil
	}
	h.log.Info("planned stop began", "running", h.entry.Running())
	h.fleet.setLeaving()
	h.exchangeHeartbeats(ctx)
	h.local.Retain(h.isScheduler)
	clock.Sleep(ctx, readinessNoticeDelay)
	h.entry.Stop()
	err := h.callers.Stop(ctx)
	noticeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), handoverNoticeTimeout)
	defer cancel()
	successor := h.tickets.DrainAndHandOver(ctx)
	h.fleet.setSuccessor(member.HostIncarnation{Host: successor.ID, Incarnation: successor.Incarnation})
	h.exchangeHeartbeats(noticeCtx)
	h.log.Info("planned stop ended", "successor", string(successor.ID))
	return err
}

// close stops all components immediately, in the reverse order of their creation.
func (h *Host) close() {
	h.cancel()
	if h.local != nil {
		h.local.Retain(func(pool.ID) bool { return false })
	}
	for i := len(h.cleanups) - 1; i >= 0; i-- {
		h.cleanups[i]()
	}
	h.cleanups = nil
	h.background.Wait()
}

// otherDomains returns the other failure domains. Those in this host's region come
// first.
func (h *Host) otherDomains() []plan.DomainID {
	var sameRegion, otherRegions []plan.DomainID
	seen := map[plan.DomainID]bool{h.settings.Domain: true}
	for _, host := range h.State().Hosts.Hosts {
		if seen[host.Domain] {
			continue
		}
		seen[host.Domain] = true
		if host.Region == h.settings.Region {
			sameRegion = append(sameRegion, host.Domain)
			continue
		}
		otherRegions = append(otherRegions, host.Domain)
	}
	return append(sameRegion, otherRegions...)
}

// LiveHosts returns the number of live hosts in this host's failure domain, this host
// included.
func (h *Host) LiveHosts() int { return len(h.fleet.Live(h.settings.Domain)) }
