// Package edge assembles one entry host of a platform that publishes routes and
// upstreams: its listeners, the reader of the platform's store, and gossip with
// the other hosts. All hosts are equal and keep no persistent state.
package edge

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"

	"mulberrydyke/catalog"
	"mulberrydyke/clock"
	"mulberrydyke/connlimit"
	"mulberrydyke/dispatch"
	"mulberrydyke/drain"
	"mulberrydyke/gateway"
	"mulberrydyke/gossip"
	"mulberrydyke/plan"
	"mulberrydyke/platform"
	"mulberrydyke/quarantine"
	"mulberrydyke/ratelimit"
	"mulberrydyke/route"
	"mulberrydyke/setting"
)

const (
	// watchPeriodFactor multiplies the time within which a new table must take
	// effect. The product is how long the platform's store may hold a watch of the
	// first reader of a domain without an event, which limits how long a lost
	// response goes unnoticed.
	watchPeriodFactor = 0.75
	// evacuationPeriodFactor does the same for the time within which an evacuation must
	// take effect. It leaves more time, since that bound also holds if the store goes silent.
	evacuationPeriodFactor = 0.6
	// memoryLimitFraction is the fraction of the machine's memory that is set as
	// the soft memory limit of the Go runtime.
	memoryLimitFraction = 0.6
	// readHeaderTimeout limits the time to read a request header.
	readHeaderTimeout = 10 * time.Second
	// idleTimeout is how long an idle connection of a caller is kept open.
	idleTimeout = 30 * time.Second
	// readinessNoticeDelay is how long a stopping host still accepts requests, so
	// that the load balancer notices that it is not ready.
	readinessNoticeDelay = 2300 * time.Millisecond
	// stopMargin is the part of the stop grace period that is reserved for the
	// shutdown after requests were drained.
	stopMargin = 300 * time.Millisecond
	// readyPath is the readiness endpoint for the load balancer.
	readyPath = "/ready"
	// tableDelayMetric is the time from when the first host receives a new table
	// from the platform to when the table takes effect on this host.
	tableDelayMetric = "mulberrydyke_table_delay_seconds"
	// metricsPath is the metrics endpoint for operators.
	metricsPath = "/metrics"
)

// Host is an entry host. It serves callers by the routes and upstreams that the
// platform publishes.
type Host struct {
	// settings are the settings that the host was started with.
	settings setting.Edge
	// bounds are the bounds that are in force, which Reload replaces.
	bounds       atomic.Pointer[setting.EdgeBounds]
	log          *slog.Logger
	balancer     *dispatch.Balancer
	connPools    *gateway.ConnPools
	retryBudget  *gateway.RetryBudget
	quarantine   *quarantine.Table
	rateLimits   *ratelimit.Limiter
	drains       *drain.Table
	gateway      *gateway.Server
	reader       *platform.Reader
	gossipNode   *gossip.Node
	metrics      *metrics.Set
	table        atomic.Pointer[route.Table]
	upstreams    upstreamList
	stopping     atomic.Bool
	startedAt    time.Time
	callerServer *http.Server
	cancel       context.CancelFunc
	tasks        sync.WaitGroup

	// evacuationPause and restartPause detect pauses of this process.
	evacuationPause, restartPause *pauseGuard
	cleanups                      []func()
}

// Start starts a host. The returned function stops it immediately; Stop shuts it
// down gracefully.
func Start(s setting.Edge, log *slog.Logger) (*Host, func(), error) {
	setRuntimeLimits(s)
	ctx, cancel := context.WithCancel(context.Background())
	h := &Host{settings: s, log: log, cancel: cancel, metrics: metrics.NewSet(), startedAt: time.Now()}
	h.upstreams.init()
	h.evacuationPause, h.restartPause = newEvacuationGuard(h.startedAt, s.Bounds.MaxEvacuationDelay), newRestartGuard(h.startedAt)
	h.bounds.Store(&s.Bounds)
	if err := h.build(ctx); err != nil {
		h.close()
		return nil, nil, err
	}
	return h, h.close, nil
}

// setRuntimeLimits adapts the Go runtime to the host's cores and memory.
func setRuntimeLimits(s setting.Edge) {
	if runtime.GOMAXPROCS(0) != s.Cores {
		runtime.GOMAXPROCS(s.Cores)
	}
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(s.MemoryBytes)))
}

func (h *Host) build(ctx context.Context) error {
	s := h.settings
	h.balancer = dispatch.NewBalancer(s.ID, s.Domain, s.Bounds.PrefixReuseWindow)
	connPools, cleanup := gateway.NewConnPools()
	h.connPools = connPools
	h.cleanups = append(h.cleanups, cleanup)
	h.retryBudget = gateway.NewRetryBudget(s.Bounds, h.budgetHostCount, h.balancer)
	h.quarantine = quarantine.NewTable(s.ID)
	h.rateLimits = ratelimit.NewLimiter(h.startedAt, s.IP, s.Domain, s.Domains)
	h.drains = drain.NewTable(h.refreshUpstreams)
	h.gateway = gateway.NewServer(gateway.Options{
		Dialect: platform.Dialect{}, Balancer: h.balancer, ConnPools: connPools, RetryBudget: h.retryBudget, Quarantine: h.quarantine,
		RateLimits: h.rateLimits, Permits: permits{h}, Drains: h.drains, Lost: h.recordLost,
		Table: h.table.Load, LookupUpstream: h.lookupUpstream, AwaitUpstream: h.awaitUpstream, Log: h.log, Metrics: gateway.NewMetrics(h.metrics), Now: time.Now,
	})
	reader, cleanup := platform.NewReader(s.Platform, watchPeriod(s.Bounds), h, h.log)
	h.reader = reader
	h.cleanups = append(h.cleanups, cleanup)
	if err := h.buildGossip(); err != nil {
		return err
	}
	h.goTask(func() { h.watchPauses(ctx) })
	h.goTask(func() { reader.Run(ctx) })
	h.goTask(func() { h.gossipNode.Run(ctx) })
	go h.gossipNode.Receive()
	return h.listen()
}

// watchPeriod returns how long the store may hold a watch without an event.
func watchPeriod(b setting.EdgeBounds) time.Duration {
	period := time.Duration(watchPeriodFactor * float64(b.MaxApplyDelay))
	if b.MaxEvacuationDelay > 0 {
		period = min(period, time.Duration(evacuationPeriodFactor*float64(b.MaxEvacuationDelay)))
	}
	return period
}

func (h *Host) buildGossip() error {
	s := h.settings
	node, cleanup, err := gossip.Listen(gossip.Options{
		Host: s.ID, Domain: s.Domain, Incarnation: rand.Uint64() | 1, IP: s.IP, DatagramPort: s.GossipPort, RPCAddr: s.Peers, Seeds: s.Seeds,
		Balancer: h.balancer, Quarantine: h.quarantine, Limiter: h.rateLimits, Drains: h.drains, Lists: h, Log: h.log, Now: time.Now,
		LimitListener: h.peerLimiter().Listen,
	})
	if err != nil {
		return err
	}
	h.gossipNode = node
	h.cleanups = append(h.cleanups, cleanup)
	return nil
}

// permits implements gateway.Permits by the node, which is built after the gateway.
type permits struct{ host *Host }

// RequestPermit implements gateway.Permits.
func (p permits) RequestPermit(ctx context.Context, u *route.Upstream, urgency int) (ratelimit.Permit, bool) {
	return p.host.gossipNode.RequestPermit(ctx, u, urgency)
}

// discoveryTime is how long after its start a host may not know all other hosts yet.
const discoveryTime = 3 * time.Second

// initialHostCount is the lowest number of hosts that is assumed during
// discoveryTime, so that a starting host does not claim too large a share of the
// retry budget.
const initialHostCount = 64

// budgetHostCount returns the number of hosts that share the retry budget.
func (h *Host) budgetHostCount() int {
	if time.Since(h.startedAt) < discoveryTime {
		return max(initialHostCount, h.gossipNode.KnownCount())
	}
	return h.gossipNode.KnownCount()
}

// goTask runs a task in a goroutine that close waits for.
func (h *Host) goTask(task func()) { h.tasks.Go(task) }

func (h *Host) listen() error {
	h.callerServer = &http.Server{Handler: h.gateway, IdleTimeout: idleTimeout}
	if err := h.serve(h.callerServer, h.callerLimiter(), h.settings.Callers); err != nil {
		return err
	}
	readyMux := http.NewServeMux()
	readyMux.HandleFunc("GET "+readyPath, h.serveReady)
	if err := h.serve(newSideServer(readyMux), h.sideLimiter("ready"), h.settings.Readiness); err != nil {
		return err
	}
	if h.settings.MetricsPort == 0 {
		return nil
	}
	h.registerGauges()
	metricsMux := http.NewServeMux()
	metricsMux.HandleFunc("GET "+metricsPath, func(w http.ResponseWriter, _ *http.Request) {
		h.metrics.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	return h.serve(newSideServer(metricsMux), h.sideLimiter("metrics"), netip.AddrPortFrom(h.settings.IP, h.settings.MetricsPort))
}

// serve serves an address within the limits of a limiter.
func (h *Host) serve(s *http.Server, limiter *connlimit.Limiter, address netip.AddrPort) error {
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		return eris.Wrap(err, "listen on "+address.String())
	}
	s.ReadHeaderTimeout = readHeaderTimeout
	s.MaxHeaderBytes = maxHeaderBytes
	s.ErrorLog = slog.NewLogLogger(h.log.Handler(), slog.LevelDebug)
	limiter.Apply(s)
	go func() {
		if err := s.Serve(limiter.Listen(listener)); !errors.Is(err, http.ErrServerClosed) {
			h.log.Error("listener failed", "address", address.String(), "cause", err)
		}
	}()
	h.cleanups = append(h.cleanups, func() { _ = s.Close() })
	return nil
}

// Ready reports whether the load balancer may send callers to this host.
func (h *Host) Ready() bool { return h.table.Load() != nil && !h.stopping.Load() }

func (h *Host) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !h.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// TableUpdated implements platform.Receiver.
func (h *Host) TableUpdated(t *route.Table, age time.Duration) {
	before, _ := h.Versions()
	h.table.Store(t)
	h.upstreams.withInForce(h.refreshCold)
	if before > 0 {
		h.metrics.GetOrCreateHistogram(tableDelayMetric).Update(age.Seconds())
	}
	go h.gossipNode.Broadcast()
	h.log.Info("table in force", "version", uint64(t.Version), "before", uint64(before), "routes", t.RouteCount(), "age", age)
}

// Synced implements platform.Receiver.
func (h *Host) Synced() { h.log.Info("platform read") }

// Versions implements gossip.Lists.
func (h *Host) Versions() (plan.Version, route.Position) {
	version := plan.Version(0)
	if t := h.table.Load(); t != nil {
		version = t.Version
	}
	return version, h.reader.Position()
}

// Reading implements gossip.Lists.
func (h *Host) Reading() bool { return h.reader.Reading() }

// SetReadDuty implements gossip.Lists.
func (h *Host) SetReadDuty(d catalog.ReadDuty) { h.reader.SetDuty(d) }

// StoreState implements gossip.Lists.
func (h *Host) StoreState() catalog.StoreState { return h.reader.StoreState() }

// RecordServedElsewhere implements gossip.Lists.
func (h *Host) RecordServedElsewhere(s catalog.ServedSpan) { h.reader.RecordServedElsewhere(s) }

// Snapshot implements gossip.Lists.
func (h *Host) Snapshot(since route.Position, table plan.Version) ([]byte, error) {
	return h.reader.Snapshot(since, table)
}

// Merge implements gossip.Lists.
func (h *Host) Merge(raw []byte) error { return h.reader.Merge(raw) }

// Reload applies changed settings. The host's ID and its own addresses change only
// with a restart.
func (h *Host) Reload(s setting.Edge) {
	setRuntimeLimits(s)
	h.bounds.Store(&s.Bounds)
	h.retryBudget.SetBounds(s.Bounds)
	h.upstreams.withInForce(h.refreshCold)
	h.reader.SetAddress(s.Platform)
	h.gossipNode.AddSeeds(s.Seeds)
	if s.Callers != h.settings.Callers || s.Readiness != h.settings.Readiness || s.Peers != h.settings.Peers || s.ID != h.settings.ID {
		h.log.Warn("changed host ID and addresses take effect only after a restart")
	}
	h.log.Info("settings read again", "seeds", len(s.Seeds), "platform", s.Platform.String(), "cores", s.Cores,
		"memory-bytes", s.MemoryBytes, "stop-time", s.Bounds.StopGracePeriod, "retry-ratio", s.Bounds.RetryRatio)
}

// Stop shuts the host down gracefully: it reports not ready, accepts requests until
// the load balancer has noticed, and waits for those in progress. It returns at the
// latest when the stop grace period is over.
func (h *Host) Stop() {
	// Connections are closed from before the host reports not ready, so that no
	// caller keeps a connection to a host that it can see is stopping.
	h.gateway.StartDraining()
	if h.stopping.Swap(true) {
		return
	}
	h.gossipNode.Leave()
	startedAt := time.Now()
	h.log.Info("planned stop began", "running", h.gateway.InFlight())
	ctx, cancel := context.WithDeadline(context.Background(), startedAt.Add(h.bounds.Load().StopGracePeriod-stopMargin))
	defer cancel()
	clock.Sleep(ctx, readinessNoticeDelay)
	err := h.callerServer.Shutdown(ctx)
	h.log.Info("planned stop ended", "running", h.gateway.InFlight(), "took", time.Since(startedAt), "cause", err)
}

// close stops the host at once, in reverse order of the start.
func (h *Host) close() {
	h.cancel()
	for i := len(h.cleanups) - 1; i >= 0; i-- {
		h.cleanups[i]()
	}
	h.cleanups = nil
	h.tasks.Wait()
}
