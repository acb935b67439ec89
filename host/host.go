// Package host puts one entry host together: its listeners, what it knows of
// lists and other hosts, its schedulers and its tickets. Every host is equal.
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
	// trailSize is how many decisions are kept for auditors.
	trailSize = 2048
	// operatorConnections bounds the connections of operators.
	operatorConnections = 64
	// drainDelay is how long a stopping host still takes requests, so that the
	// balancer can notice that it is not ready.
	drainDelay = time.Second
	// retireTime bounds the handing over of tickets.
	retireTime = 10 * time.Second
	ticketKey  = 32
)

// Host is one entry host.
type Host struct {
	settings setting.Host
	log      *slog.Logger
	state    atomic.Pointer[plan.State]
	lists    *lists
	fleet    *fleet
	local    *placement.Server
	fallback *placement.Server
	placer   *placement.Client
	set      *upstream.Set
	tickets  *relay.Relay
	entry    *entry.Server
	metrics  *metric.Set
	trail    *audit.Trail
	platform *registry.Client

	callers, operators *web.Server
	peers              *peer.Server

	leaving atomic.Bool
	// turn is when the heartbeats' duty last had its turn.
	turn     atomic.Pointer[time.Time]
	cancel   context.CancelFunc
	duties   sync.WaitGroup
	cleanups []func()
}

// Start starts a host with the given settings. The returned function stops it
// at once, as a crash would but in order; Stop is the planned way.
func Start(settings setting.Host, log *slog.Logger) (*Host, func(), error) {
	ctx, cancel := context.WithCancel(context.Background())
	h := &Host{settings: settings, log: log, cancel: cancel, metrics: metric.NewSet(), trail: audit.NewTrail(trailSize)}
	h.state.Store(plan.NewState())
	if err := h.build(ctx); err != nil {
		h.close()
		return nil, nil, err
	}
	return h, h.close, nil
}

// build makes the parts in the order in which they need each other.
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
	h.fleet = newFleet(member.Self{
		ID: h.settings.ID, Incarnation: incarnation, Domain: h.settings.Domain,
		Region: h.settings.Region, Peer: peers.Address(),
	}, client)
	h.buildPlacement()
	if err := h.buildServing(incarnation); err != nil {
		return err
	}
	handler.ready.Store(true)
	h.startDuties(ctx)
	return h.listen(traffic)
}

func (h *Host) buildLists() {
	set, cleanup := upstream.NewSet(h.settings.Bounds.Silence.Std())
	h.set = set
	h.cleanups = append(h.cleanups, cleanup)
	client, cleanup := registry.NewClient(h.settings.Platform)
	h.platform = client
	h.cleanups = append(h.cleanups, cleanup)
	h.lists = newLists(h)
}

func newIncarnation() (member.Incarnation, error) {
	var raw [8]byte
	if _, err := rand.Read(raw[:]); err != nil {
		return 0, eris.Wrap(err, "draw an incarnation")
	}
	return member.Incarnation(binary.LittleEndian.Uint64(raw[:]) | 1), nil
}

func (h *Host) buildPlacement() {
	whole := func() float64 { return 1 }
	local, cleanup := placement.NewServer(h.State, whole, h.gather)
	h.local = local
	h.cleanups = append(h.cleanups, cleanup)
	fallback, cleanup := placement.NewServer(h.State, h.fallbackPart, nil)
	h.fallback = fallback
	h.cleanups = append(h.cleanups, cleanup)
	placer, cleanup := placement.NewClient(h.fleet, local, fallback)
	h.placer = placer
	h.cleanups = append(h.cleanups, cleanup)
}

// fallbackPart is the part of a pool that this host may use while it can't reach
// the pool's scheduler: an equal part for each listed host of the domain.
func (h *Host) fallbackPart() float64 {
	n := 0
	for _, x := range h.State().Hosts.Hosts {
		if x.Domain == h.settings.Domain {
			n++
		}
	}
	return 1 / float64(max(1, n))
}

func (h *Host) buildServing(incarnation member.Incarnation) error {
	key := make([]byte, ticketKey)
	if _, err := rand.Read(key); err != nil {
		return eris.Wrap(err, "draw a key for tickets")
	}
	bounds := h.settings.Bounds
	run := runner.New(runner.Options{
		Host: h.settings.ID, Incarnation: uint64(incarnation), Domain: h.settings.Domain, Domains: h.otherDomains,
		Placer: h.placer, Upstreams: h.set, State: h.State, AwaitFresh: h.awaitFresh,
		AnswerBytes: bounds.AnswerBytes, RetryPart: bounds.RetryPart,
	})
	tickets, cleanup := relay.New(relay.Options{
		Fleet: h.fleet, Run: h.runTicket, Key: key, Life: bounds.TicketLife.Std(), Bytes: bounds.TicketBytes,
	})
	h.tickets = tickets
	h.cleanups = append(h.cleanups, cleanup)
	h.entry = entry.NewServer(entry.Options{
		State: h.State, Started: h.lists.started.Load, Runner: run, Tickets: tickets, Bounds: bounds, Metrics: h.metrics, Trail: h.trail,
	})
	return nil
}

func (h *Host) runTicket(ctx context.Context, j *job.Job, arrived time.Time, guard runner.Guard, out job.Output) error {
	return h.entry.Execute(ctx, j, arrived, guard, out)
}

// listen opens the listeners for callers and operators.
func (h *Host) listen(traffic *peer.Traffic) error {
	tlsConfig, err := h.tlsConfig()
	if err != nil {
		return err
	}
	handler, err := h.entry.Handler()
	if err != nil {
		return eris.Wrap(err, "build the routes for callers")
	}
	h.callers, err = web.Listen(h.settings.Listen.Callers, handler, h.settings.Bounds.Connections, tlsConfig)
	if err != nil {
		return eris.Wrap(err, "listen for callers")
	}
	h.cleanups = append(h.cleanups, h.callers.Close)
	h.registerGauges(traffic)
	operators, err := admin.Handler(&view{host: h})
	if err != nil {
		return eris.Wrap(err, "build the routes for operators")
	}
	h.operators, err = web.Listen(h.settings.Listen.Operators, operators, operatorConnections, tlsConfig)
	if err != nil {
		return eris.Wrap(err, "listen for operators")
	}
	h.cleanups = append(h.cleanups, h.operators.Close)
	return nil
}

func (h *Host) tlsConfig() (*tls.Config, error) {
	if h.settings.TLS == nil {
		return nil, nil
	}
	pair, err := tls.LoadX509KeyPair(h.settings.TLS.Certificate, h.settings.TLS.Key)
	if err != nil {
		return nil, eris.Wrap(err, "load the certificate")
	}
	return &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS12}, nil
}

func (h *Host) registerGauges(traffic *peer.Traffic) {
	h.metrics.RegisterGauge("mulberrydyke_running_requests", func() float64 { return float64(h.entry.Running()) })
	h.metrics.RegisterGauge("mulberrydyke_platform_calls_total", func() float64 { return float64(h.platform.Calls()) })
	h.metrics.RegisterGauge("mulberrydyke_peer_received_bytes_total", func() float64 { return float64(traffic.BytesReceived.Load()) })
	h.metrics.RegisterGauge("mulberrydyke_peer_sent_bytes_total", func() float64 { return float64(traffic.BytesSent.Load()) })
	h.metrics.RegisterGauge("mulberrydyke_peer_calls_total", func() float64 { return float64(traffic.Calls.Load()) })
	for _, kind := range plan.Kinds() {
		h.metrics.RegisterGauge(`mulberrydyke_list_version{list="`+string(kind)+`"}`, func() float64 {
			return float64(h.State().Versions().Of(kind))
		})
	}
}

// State returns the lists in force.
func (h *Host) State() *plan.State { return h.state.Load() }

// CallerAddress returns the address of the listener for callers.
func (h *Host) CallerAddress() string { return h.callers.Address() }

// OperatorAddress returns the address of the listener for operators.
func (h *Host) OperatorAddress() string { return h.operators.Address() }

// PeerAddress returns the address of the listener for peers.
func (h *Host) PeerAddress() string { return h.peers.Address() }

// Ready says whether the balancer may send callers here.
func (h *Host) Ready() bool {
	v := h.State().Versions()
	return !h.leaving.Load() && h.lists.started.Load() && v.Plans > 0 && v.Entitlements > 0
}

// Stop is a planned stop. The host tells balancer and peers that it leaves,
// waits until every request in progress has ended, and hands its tickets to a
// successor. Ctx bounds the wait.
func (h *Host) Stop(ctx context.Context) error {
	if h.leaving.Swap(true) {
		return nil
	}
	h.log.Info("planned stop began", "running", h.entry.Running())
	h.fleet.setLeaving()
	h.beatAll(ctx)
	h.local.Keep(h.isScheduler)
	clock.Sleep(ctx, drainDelay)
	h.entry.Stop()
	err := h.callers.Stop(ctx)
	wait, cancel := context.WithTimeout(context.WithoutCancel(ctx), retireTime)
	defer cancel()
	successor := h.tickets.Retire(ctx)
	h.fleet.setSuccessor(member.Former{Host: successor.ID, Incarnation: successor.Incarnation})
	h.beatAll(wait)
	h.log.Info("planned stop ended", "successor", string(successor.ID))
	return err
}

// close stops everything, the newest part first.
func (h *Host) close() {
	h.cancel()
	if h.local != nil {
		h.local.Keep(func(pool.ID) bool { return false })
	}
	for i := len(h.cleanups) - 1; i >= 0; i-- {
		h.cleanups[i]()
	}
	h.cleanups = nil
	h.duties.Wait()
}

// otherDomains returns the other failure domains, those of the own region
// first.
func (h *Host) otherDomains() []plan.DomainID {
	var near, far []plan.DomainID
	seen := map[plan.DomainID]bool{h.settings.Domain: true}
	for _, x := range h.State().Hosts.Hosts {
		if seen[x.Domain] {
			continue
		}
		seen[x.Domain] = true
		if x.Region == h.settings.Region {
			near = append(near, x.Domain)
			continue
		}
		far = append(far, x.Domain)
	}
	return append(near, far...)
}

// LiveHosts returns how many hosts of the own domain are there, this one
// included.
func (h *Host) LiveHosts() int { return len(h.fleet.Live(h.settings.Domain)) }
