// Package edge puts one entry host together for a platform that lists routes and
// upstreams: its listeners, its reader of the platform, and its exchange with
// the other hosts. Every host is equal and keeps nothing.
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

	"mulberrydyke/clock"
	"mulberrydyke/dispatch"
	"mulberrydyke/gateway"
	"mulberrydyke/gossip"
	"mulberrydyke/plan"
	"mulberrydyke/platform"
	"mulberrydyke/quarantine"
	"mulberrydyke/route"
	"mulberrydyke/setting"
)

const (
	// watchFactor times the time in which tables have to be in force is how long
	// a watch of the platform may hear nothing before it is asked anew. It bounds
	// how long one is believed whose answer was lost; other hosts' news come
	// sooner.
	watchFactor = 1.5
	// memoryShare is the part of the machine's memory that the heap aims at.
	memoryShare = 0.6
	// headerTimeout bounds the reading of a request's head.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long a caller's connection may wait for a request.
	idleTimeout = 30 * time.Second
	// noticeTime is how long a stopping host still takes requests, so that the
	// balancer notices that it is not ready.
	noticeTime = 2300 * time.Millisecond
	// stopMargin is left of the stop time for the end itself.
	stopMargin = 300 * time.Millisecond
	// readyPath is asked by the balancer.
	readyPath = "/ready"
	// tableDelayMetric is the time from the first host's hearing a new table from
	// the platform to its being in force here.
	tableDelayMetric = "mulberrydyke_table_delay_seconds"
	// metricsPath is asked by operators.
	metricsPath = "/metrics"
)

// Host is one entry host.
type Host struct {
	// settings are those of the start.
	settings setting.Edge
	// bounds are those in force.
	bounds    atomic.Pointer[setting.EdgeBounds]
	log       *slog.Logger
	core      *dispatch.Core
	links     *gateway.Links
	budget    *gateway.Budget
	suspects  *quarantine.Table
	gateway   *gateway.Server
	reader    *platform.Reader
	node      *gossip.Node
	metrics   *metrics.Set
	table     atomic.Pointer[route.Table]
	upstreams atomic.Pointer[route.Upstreams]
	leaving   atomic.Bool
	began     time.Time
	callers   *http.Server
	cancel    context.CancelFunc
	duties    sync.WaitGroup
	cleanups  []func()
}

// Start starts a host. The returned function stops it at once; Stop is the
// planned way.
func Start(s setting.Edge, log *slog.Logger) (*Host, func(), error) {
	bind(s)
	ctx, cancel := context.WithCancel(context.Background())
	h := &Host{settings: s, log: log, cancel: cancel, metrics: metrics.NewSet(), began: time.Now()}
	h.upstreams.Store(&route.Upstreams{})
	h.bounds.Store(&s.Bounds)
	if err := h.build(ctx); err != nil {
		h.close()
		return nil, nil, err
	}
	return h, h.close, nil
}

// bind keeps the process to the machine's cores and memory.
func bind(s setting.Edge) {
	if runtime.GOMAXPROCS(0) != s.Cores {
		runtime.GOMAXPROCS(s.Cores)
	}
	debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryBytes)))
}

func (h *Host) build(ctx context.Context) error {
	s := h.settings
	h.core = dispatch.NewCore(s.ID, s.Domain, s.Bounds.CacheLife)
	links, cleanup := gateway.NewLinks()
	h.links = links
	h.cleanups = append(h.cleanups, cleanup)
	h.budget = gateway.NewBudget(s.Bounds, h.sharers, h.core)
	h.suspects = quarantine.NewTable()
	h.gateway = gateway.NewServer(gateway.Options{
		Dialect: platform.Dialect{}, Core: h.core, Links: links, Budget: h.budget, Quarantine: h.suspects,
		Table: h.table.Load, Current: h.current, Log: h.log, Metrics: gateway.NewMetrics(h.metrics), Now: time.Now,
	})
	wait := time.Duration(watchFactor * float64(s.Bounds.ApplyTime))
	reader, cleanup := platform.NewReader(s.Platform, wait, h, h.log)
	h.reader = reader
	h.cleanups = append(h.cleanups, cleanup)
	if err := h.buildGossip(); err != nil {
		return err
	}
	h.start(func() { reader.Run(ctx) })
	h.start(func() { h.node.Run(ctx) })
	go h.node.Receive()
	return h.listen()
}

func (h *Host) buildGossip() error {
	s := h.settings
	node, cleanup, err := gossip.Listen(gossip.Options{
		Host: s.ID, Domain: s.Domain, Incarnation: rand.Uint64() | 1, IP: s.IP, DatagramPort: s.GossipPort, RPCAddr: s.Peers, Seeds: s.Seeds,
		Dispatcher: h.core, Quarantine: h.suspects, Lists: h, Log: h.log, Now: time.Now,
	})
	if err != nil {
		return err
	}
	h.node = node
	h.cleanups = append(h.cleanups, cleanup)
	return nil
}

// settleTime is how long a host learns of the others before it counts on knowing
// them all.
const settleTime = 3 * time.Second

// sharersFirst is the number of hosts that are assumed until then.
const sharersFirst = 64

// sharers returns how many hosts share what all may repeat together.
func (h *Host) sharers() int {
	if time.Since(h.began) < settleTime {
		return max(sharersFirst, h.node.KnownCount())
	}
	return h.node.KnownCount()
}

// start runs a duty until the host stops.
func (h *Host) start(duty func()) { h.duties.Go(duty) }

func (h *Host) listen() error {
	h.callers = &http.Server{Handler: h.gateway, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, ErrorLog: slog.NewLogLogger(h.log.Handler(), slog.LevelDebug)}
	if err := h.serve(h.callers, h.settings.Callers); err != nil {
		return err
	}
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+readyPath, h.serveReady)
	if err := h.serve(&http.Server{Handler: ready, ReadHeaderTimeout: headerTimeout}, h.settings.Readiness); err != nil {
		return err
	}
	if h.settings.MetricsPort == 0 {
		return nil
	}
	h.registerGauges()
	text := http.NewServeMux()
	text.HandleFunc("GET "+metricsPath, func(w http.ResponseWriter, _ *http.Request) {
		h.metrics.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	return h.serve(&http.Server{Handler: text, ReadHeaderTimeout: headerTimeout}, netip.AddrPortFrom(h.settings.IP, h.settings.MetricsPort))
}

func (h *Host) serve(s *http.Server, address netip.AddrPort) error {
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		return eris.Wrap(err, "listen on "+address.String())
	}
	go func() {
		if err := s.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			h.log.Error("listener ended", "address", address.String(), "cause", err)
		}
	}()
	h.cleanups = append(h.cleanups, func() { _ = s.Close() })
	return nil
}

func (h *Host) registerGauges() {
	h.metrics.NewGauge("mulberrydyke_running_requests", func() float64 { return float64(h.gateway.Running()) })
	h.metrics.NewGauge("mulberrydyke_platform_calls_total", func() float64 { return float64(h.reader.CallCount()) })
	h.metrics.NewGauge("mulberrydyke_connections_opened_total", func() float64 { return float64(h.links.Opened()) })
	h.metrics.NewGauge("mulberrydyke_hosts_in_reach", func() float64 { return float64(h.node.LiveCount()) })
	h.metrics.NewGauge("mulberrydyke_table_version", func() float64 {
		table, _ := h.Versions()
		return float64(table)
	})
}

// Ready says whether the balancer may send callers here.
func (h *Host) Ready() bool { return h.table.Load() != nil && !h.leaving.Load() }

func (h *Host) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !h.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// TableUpdated implements platform.Receiver.
func (h *Host) TableUpdated(t *route.Table, age time.Duration) {
	before, _ := h.Versions()
	h.table.Store(t)
	if before > 0 {
		h.metrics.GetOrCreateHistogram(tableDelayMetric).Update(age.Seconds())
	}
	go h.node.Broadcast()
	h.log.Info("table in force", "version", uint64(t.Version), "before", uint64(before), "routes", t.Routes(), "age", age)
}

// UpstreamsUpdated implements platform.Receiver.
func (h *Host) UpstreamsUpdated(u *route.Upstreams) {
	before := h.upstreams.Swap(u)
	h.core.SetUpstreams(time.Now(), u)
	h.links.Keep(u)
	h.logUpstreams(before, u)
	go h.node.Broadcast()
}

// logUpstreams writes a line for each upstream that came, changed or went.
func (h *Host) logUpstreams(before, after *route.Upstreams) {
	for id, u := range after.ByID {
		if old := before.ByID[id]; old == nil || old.State != u.State || old.Address != u.Address || !old.Born.Equal(u.Born) {
			h.log.Info("upstream listed", "upstream", string(id), "service", string(u.Service), "leaving", u.State == route.Leaving,
				"address", u.Address, "revision", u.Revision)
		}
	}
	for id := range before.ByID {
		if after.ByID[id] == nil {
			h.log.Info("upstream gone", "upstream", string(id), "revision", after.Revision)
		}
	}
}

// Synced implements platform.Receiver.
func (h *Host) Synced() { h.log.Info("platform read") }

func (h *Host) current(id plan.UpstreamID) *route.Upstream { return h.upstreams.Load().ByID[id] }

// Versions implements gossip.Lists.
func (h *Host) Versions() (plan.Version, uint64) {
	version := plan.Version(0)
	if t := h.table.Load(); t != nil {
		version = t.Version
	}
	return version, h.reader.AsOf()
}

// Reading implements gossip.Lists.
func (h *Host) Reading() bool { return h.reader.Reading() }

// SetMustRead implements gossip.Lists.
func (h *Host) SetMustRead(must bool) { h.reader.SetMustRead(must) }

// Snapshot implements gossip.Lists.
func (h *Host) Snapshot(since uint64) ([]byte, error) { return h.reader.Snapshot(since) }

// Merge implements gossip.Lists.
func (h *Host) Merge(raw []byte) error { return h.reader.Merge(raw) }

// Reload takes up changed settings. The host's names and its own addresses stay
// as they were at the start.
func (h *Host) Reload(s setting.Edge) {
	bind(s)
	h.bounds.Store(&s.Bounds)
	h.budget.SetBounds(s.Bounds)
	h.reader.SetAddress(s.Platform)
	h.node.AddSeeds(s.Seeds)
	if s.Callers != h.settings.Callers || s.Readiness != h.settings.Readiness || s.Peers != h.settings.Peers || s.ID != h.settings.ID {
		h.log.Warn("changed names and addresses of the host wait for its next start")
	}
	h.log.Info("settings read again", "seeds", len(s.Seeds), "platform", s.Platform.String(), "cores", s.Cores,
		"memory-bytes", s.MemoryBytes, "stop-time", s.Bounds.StopTime, "retry-ratio", s.Bounds.RetryRatio)
}

// Stop is a planned stop: the balancer is told, requests are taken until it has
// noticed, and those in progress end. It returns when the stop time is over at
// the latest.
func (h *Host) Stop() {
	if h.leaving.Swap(true) {
		return
	}
	began := time.Now()
	h.log.Info("planned stop began", "running", h.gateway.Running())
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(h.bounds.Load().StopTime-stopMargin))
	defer cancel()
	h.gateway.Leave()
	clock.Pause(ctx, noticeTime)
	err := h.callers.Shutdown(ctx)
	h.log.Info("planned stop ended", "running", h.gateway.Running(), "took", time.Since(began), "cause", err)
}

// close stops everything, the newest part first.
func (h *Host) close() {
	h.cancel()
	for i := len(h.cleanups) - 1; i >= 0; i-- {
		h.cleanups[i]()
	}
	h.cleanups = nil
	h.duties.Wait()
}
