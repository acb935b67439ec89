package host

import (
	"context"
	"errors"
	"sync"
	"time"

	"mulberrydyke/clock"
	"mulberrydyke/member"
	"mulberrydyke/peer"
	"mulberrydyke/placement"
	"mulberrydyke/plan"
	"mulberrydyke/pool"
)

const (
	beatTimeout = time.Second
	// pauseBound is how late heartbeats may be before the host takes what it
	// believes for stale.
	pauseBound = time.Second
	freshWait  = 5 * time.Second
	freshPoll  = 10 * time.Millisecond
	// loadEvery is the time between two reads of load reports.
	loadEvery = 100 * time.Millisecond
	// confirmEvery is how often a scheduler asks the other hosts which of its
	// grants they still hold.
	confirmEvery = 3 * time.Second
)

// startDuties starts the goroutines of the host. Each has one duty.
func (h *Host) startDuties(ctx context.Context) {
	h.duties.Go(func() { h.beats(ctx) })
	h.duties.Go(func() { h.loads(ctx) })
	h.duties.Go(func() { h.confirms(ctx) })
	h.duties.Go(func() { h.suspicions(ctx) })
}

// refreshAll asks peers and platform for their lists before the host serves
// anybody, so that a stale platform can't make it serve under old ones. Peers
// are asked again once the platform has told who they are.
func (h *Host) refreshAll(ctx context.Context) {
	h.beatAll(ctx)
	h.lists.fetchNewest(ctx)
	start, cancel := context.WithTimeout(ctx, startTime)
	h.lists.readOnce(start)
	cancel()
	h.beatAll(ctx)
	h.lists.fetchNewest(ctx)
}

// beats reads the lists once, then exchanges heartbeats and takes up or gives
// up the roles that follow from who is there.
func (h *Host) beats(ctx context.Context) {
	h.refreshAll(ctx)
	h.noteTurn()
	h.lists.started.Store(true)
	for ctx.Err() == nil {
		if !h.isFresh(time.Now()) {
			h.log.Warn("the process was stopped for a while; asking peers and platform anew")
			h.metrics.Count("mulberrydyke_pauses_total")
			h.refreshAll(ctx)
		}
		h.noteTurn()
		h.takeRoles(ctx)
		h.sendBeats(ctx, nil)
		clock.Pause(ctx, h.fleet.interval())
	}
	h.lists.setReader(ctx, false)
}

func (h *Host) noteTurn() {
	now := time.Now()
	h.turn.Store(&now)
}

// isFresh says whether what this host believes is recent: its heartbeats have
// not been held up for long.
func (h *Host) isFresh(now time.Time) bool {
	turn := h.turn.Load()
	return turn != nil && now.Sub(*turn) < h.fleet.interval()+pauseBound
}

// awaitFresh waits until what this host believes is recent, at most for a
// bounded time: a host that was cut off from everybody goes on serving.
func (h *Host) awaitFresh(ctx context.Context) {
	deadline := time.Now().Add(freshWait)
	for now := time.Now(); !h.isFresh(now) && now.Before(deadline) && ctx.Err() == nil; now = time.Now() {
		clock.Pause(ctx, freshPoll)
	}
}

// takeRoles settles whether this host reads the platform and which schedulers
// it runs.
func (h *Host) takeRoles(ctx context.Context) {
	now := time.Now()
	for _, gone := range h.fleet.forget(now) {
		h.hostGone(gone)
	}
	h.lists.setReader(ctx, h.isReader())
	h.local.Retain(h.isScheduler)
}

func (h *Host) isReader() bool {
	ranked := member.RankByRendezvous("platform-reader", h.fleet.Live(h.settings.Domain))
	for i, host := range ranked {
		if host.ID == h.settings.ID {
			return i < readers
		}
	}
	return false
}

func (h *Host) isScheduler(id pool.ID) bool {
	ranked := placement.RankSchedulers(id, h.fleet.Live(id.Domain))
	return len(ranked) > 0 && ranked[0].ID == h.settings.ID
}

func (h *Host) hostGone(gone member.HostIncarnation) {
	e := &pool.HostGone{Host: gone.Host, Incarnation: uint64(gone.Incarnation)}
	h.local.Broadcast(e)
	h.fallback.Broadcast(e)
}

// sendBeats sends a heartbeat to every target without waiting for the answers.
func (h *Host) sendBeats(ctx context.Context, suspects []pool.Suspect) {
	for _, address := range h.fleet.targets(time.Now(), h.settings.Peers) {
		if suspects == nil && !h.fleet.take(address) {
			continue
		}
		h.duties.Go(func() {
			if suspects == nil {
				defer h.fleet.release(address)
			}
			h.beatOne(ctx, address, suspects)
		})
	}
}

// beatAll sends a heartbeat to every target and waits for the answers.
func (h *Host) beatAll(ctx context.Context) {
	var wait sync.WaitGroup
	for _, address := range h.fleet.targets(time.Now(), h.settings.Peers) {
		wait.Go(func() { h.beatOne(ctx, address, nil) })
	}
	wait.Wait()
}

// beatOne exchanges heartbeats with the host at address. Where no answer
// comes, the connection is closed, since it may have gone silent.
func (h *Host) beatOne(ctx context.Context, address string, suspects []pool.Suspect) {
	call, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	args := &peer.BeatArgs{Beat: h.fleet.beat(h.State().Versions()), Suspects: suspects}
	var reply peer.BeatReply
	err := h.fleet.client.Call(call, address, "Beat", args, &reply)
	var link *peer.LinkError
	if errors.As(err, &link) {
		h.fleet.client.Drop(address)
	}
	if err == nil {
		h.heard(ctx, reply.Beat, reply.Absent, true)
	}
}

// heard takes in another host's heartbeat, as an answer to one sent from here
// or not.
func (h *Host) heard(ctx context.Context, b member.Heartbeat, absent []plan.HostID, answer bool) {
	gone, restarted := h.fleet.seen(time.Now(), b, absent, answer)
	if restarted {
		h.hostGone(gone)
	}
	h.lists.catchUp(ctx, b.Self, b.Versions)
}

// gather asks the hosts of a pool's domain what they run in it.
func (h *Host) gather(ctx context.Context, id pool.ID) []pool.Run {
	runs := h.placer.Runs(id)
	var mu sync.Mutex
	var wait sync.WaitGroup
	for _, host := range h.fleet.hosts() {
		if host.Condition == member.Dead || host.Identity.Peer == "" {
			continue
		}
		wait.Go(func() {
			var reply peer.RunsReply
			err := h.fleet.Call(ctx, host.Identity, "Runs", &peer.RunsArgs{Pool: id}, &reply)
			if err != nil || reply.Check() != nil {
				return
			}
			h.local.MergeSuspects(time.Now(), reply.Suspects)
			mu.Lock()
			defer mu.Unlock()
			runs = append(runs, reply.Runs...)
		})
	}
	wait.Wait()
	return runs
}

// loads reads the load reports of the engines whose pools are decided here, one
// after the other, so that their number per second is bounded however many
// engines there are.
func (h *Host) loads(ctx context.Context) {
	tick := time.NewTicker(loadEvery)
	defer tick.Stop()
	var left []loadTarget
	for {
		select {
		case <-tick.C:
			if len(left) == 0 {
				left = h.loadTargets()
			}
			if len(left) > 0 {
				target := left[0]
				left = left[1:]
				h.duties.Go(func() { h.readLoad(ctx, target.pool, target.upstream) })
			}
		case <-ctx.Done():
			return
		}
	}
}

// loadTarget is an engine in a pool that is decided here.
type loadTarget struct {
	pool     pool.ID
	upstream plan.UpstreamID
}

func (h *Host) loadTargets() []loadTarget {
	var out []loadTarget
	for _, id := range h.local.Pools() {
		if id.Kind != plan.Engine {
			continue
		}
		for _, u := range placement.UpstreamsOf(h.State(), id) {
			out = append(out, loadTarget{id, u.ID})
		}
	}
	return out
}

func (h *Host) readLoad(ctx context.Context, id pool.ID, u plan.UpstreamID) {
	client, ok := h.set.Client(u)
	if !ok {
		return
	}
	load, err := client.Load(ctx)
	if err != nil {
		return
	}
	h.local.Send(id, &pool.LoadReported{Upstream: u, Memory: load.KVCacheUsage, Age: load.Age()})
}

// confirms checks the schedulers' books against what the hosts still run, so
// that a lost report costs an upstream's slot for a few seconds only.
func (h *Host) confirms(ctx context.Context) {
	tick := time.NewTicker(confirmEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			for _, id := range h.local.Pools() {
				h.confirm(ctx, id)
			}
		case <-ctx.Done():
			return
		}
	}
}

func (h *Host) confirm(ctx context.Context, id pool.ID) {
	asked := time.Now()
	h.local.Send(id, h.held(id, asked))
	var wait sync.WaitGroup
	for _, host := range h.fleet.hosts() {
		if host.Condition != member.Live && host.Condition != member.Leaving {
			continue
		}
		wait.Go(func() {
			call, cancel := context.WithTimeout(ctx, beatTimeout)
			defer cancel()
			var reply peer.HeldReply
			err := h.fleet.Call(call, host.Identity, "Held", &peer.RunsArgs{Pool: id}, &reply)
			if err != nil || reply.Check() != nil {
				return
			}
			h.local.Send(id, &pool.GrantsConfirmed{
				Host: host.Identity.ID, Incarnation: reply.Incarnation, Held: reply.Held, QueriedAt: asked,
			})
		})
	}
	wait.Wait()
}

func (h *Host) held(id pool.ID, asked time.Time) *pool.GrantsConfirmed {
	out := &pool.GrantsConfirmed{Host: h.settings.ID, Incarnation: uint64(h.fleet.self.Incarnation), QueriedAt: asked}
	for _, r := range h.placer.Runs(id) {
		out.Held = append(out.Held, r.Ask.ID.Sequence)
	}
	return out
}

// suspicions spreads what schedulers here learn of crashes.
func (h *Host) suspicions(ctx context.Context) {
	for {
		select {
		case <-h.local.SuspectsChanged():
			h.spread(ctx, h.local.LocalSuspects(time.Now()))
		case <-h.fallback.SuspectsChanged():
			h.spread(ctx, h.fallback.LocalSuspects(time.Now()))
		case <-ctx.Done():
			return
		}
	}
}

// crashesTold takes in what another host knows of crashes, and passes on what is
// new, so that the news reaches every failure domain.
func (h *Host) crashesTold(suspects []pool.Suspect) {
	now := time.Now()
	fresh := h.local.MergeSuspects(now, suspects)
	h.fallback.MergeSuspects(now, suspects)
	if fresh {
		h.sendBeats(context.Background(), suspects)
	}
}

func (h *Host) spread(ctx context.Context, suspects []pool.Suspect) {
	now := time.Now()
	h.local.MergeSuspects(now, suspects)
	h.fallback.MergeSuspects(now, suspects)
	if len(suspects) > 0 {
		h.sendBeats(ctx, suspects)
	}
}
