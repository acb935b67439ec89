package host

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"mulberrydyke/member"
	"mulberrydyke/peer"
	"mulberrydyke/plan"
	"mulberrydyke/registry"
)

const (
	// readers is how many hosts of a domain watch the platform.
	readers   = 2
	fetchTime = 2 * time.Second
	startTime = time.Second
)

// lists keeps the lists in force up to date.
type lists struct {
	host *Host
	// started is set once platform and peers were asked for the first time.
	started atomic.Bool

	mu sync.Mutex
	// adopting orders the adoption of lists.
	adopting sync.Mutex
	fetching map[plan.Kind]bool
	stop     context.CancelFunc
	watching sync.WaitGroup
	rejected map[plan.Kind]string
	platform map[plan.Kind]string
}

func newLists(h *Host) *lists {
	return &lists{host: h, fetching: map[plan.Kind]bool{}, rejected: map[plan.Kind]string{}, platform: map[plan.Kind]string{}}
}

// adopt puts a list in force if it is valid and newer.
func (l *lists) adopt(kind plan.Kind, raw []byte) {
	l.adopting.Lock()
	defer l.adopting.Unlock()
	h := l.host
	next, err := h.State().With(kind, raw)
	var old *plan.OldVersionError
	if errors.As(err, &old) && !old.Conflict {
		return
	}
	if err != nil {
		l.reject(kind, err)
		return
	}
	h.state.Store(next)
	l.clearReject(kind)
	h.log.Info("list in force", "list", string(kind), "version", uint64(next.Versions().Of(kind)))
	switch kind {
	case plan.KindUpstreams:
		h.set.Update(next.Upstreams)
	case plan.KindHosts:
		h.fleet.listed(next.Hosts)
	}
	h.local.Refresh()
	h.fallback.Refresh()
}

// reject reports a bad list: a count each time, a line when the reason changes.
func (l *lists) reject(kind plan.Kind, err error) {
	l.host.metrics.RecordRejectedList(kind)
	l.mu.Lock()
	known := l.rejected[kind] == err.Error()
	l.rejected[kind] = err.Error()
	l.mu.Unlock()
	if !known {
		l.host.log.Warn("list rejected; the old one stays in force", "list", string(kind), "reason", err.Error())
	}
}

func (l *lists) clearReject(kind plan.Kind) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.rejected, kind)
}

// rejections returns the reason of each list that is published but not valid.
func (l *lists) rejections() map[plan.Kind]string {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[plan.Kind]string{}
	for kind, reason := range l.rejected {
		out[kind] = reason
	}
	return out
}

// platformFailed books a failed read: a line at the first of a row.
func (l *lists) platformFailed(kind plan.Kind, err error) {
	l.host.metrics.Inc("mulberrydyke_platform_failures_total")
	l.mu.Lock()
	first := l.platform[kind] == ""
	l.platform[kind] = err.Error()
	l.mu.Unlock()
	if first {
		l.host.log.Warn("platform not readable; the lists stay in force", "list", string(kind), "reason", err.Error())
	}
}

func (l *lists) platformWorks(kind plan.Kind) {
	l.mu.Lock()
	failed := l.platform[kind] != ""
	delete(l.platform, kind)
	l.mu.Unlock()
	if failed {
		l.host.log.Info("platform readable again", "list", string(kind))
	}
}

// readOnce reads every list from the platform, at the host's start.
func (l *lists) readOnce(ctx context.Context) {
	var wait sync.WaitGroup
	for _, kind := range plan.Kinds() {
		wait.Go(func() {
			v, err := l.host.platform.Read(ctx, kind)
			if err != nil {
				l.platformFailed(kind, err)
				return
			}
			l.adopt(kind, v.Raw)
		})
	}
	wait.Wait()
}

// setReader starts or stops the watches of the platform.
func (l *lists) setReader(ctx context.Context, reader bool) {
	if reader == (l.stop != nil) {
		return
	}
	if !reader {
		l.stop()
		l.watching.Wait()
		l.stop = nil
		return
	}
	ctx, l.stop = context.WithCancel(ctx)
	for _, kind := range plan.Kinds() {
		values := make(chan registry.Value)
		l.watching.Go(func() {
			l.host.platform.Watch(ctx, kind, values, func(err error) {
				if ctx.Err() == nil {
					l.platformFailed(kind, err)
				}
			})
		})
		l.watching.Go(func() { l.take(ctx, values) })
	}
}

func (l *lists) take(ctx context.Context, values <-chan registry.Value) {
	for {
		select {
		case v := <-values:
			l.platformWorks(v.Kind)
			l.adopt(v.Kind, v.Raw)
		case <-ctx.Done():
			return
		}
	}
}

// catchUp fetches each list of which a peer has a higher version.
func (l *lists) catchUp(ctx context.Context, from member.Self, versions plan.Versions) {
	for _, kind := range plan.Kinds() {
		if versions.Of(kind) > l.host.State().Versions().Of(kind) && l.beginFetch(kind) {
			l.host.duties.Go(func() {
				defer l.endFetch(kind)
				l.fetch(ctx, from, kind)
			})
		}
	}
}

// fetchNewest fetches the highest version of each list that any peer showed,
// and waits for it.
func (l *lists) fetchNewest(ctx context.Context) {
	for _, kind := range plan.Kinds() {
		best := l.host.State().Versions().Of(kind)
		var from member.Self
		for _, host := range l.host.fleet.hosts() {
			if v := host.Versions.Of(kind); v > best {
				best, from = v, host.Self
			}
		}
		if from.ID != "" {
			l.fetch(ctx, from, kind)
		}
	}
}

func (l *lists) beginFetch(kind plan.Kind) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fetching[kind] {
		return false
	}
	l.fetching[kind] = true
	return true
}

func (l *lists) endFetch(kind plan.Kind) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.fetching, kind)
}

func (l *lists) fetch(ctx context.Context, from member.Self, kind plan.Kind) {
	ctx, cancel := context.WithTimeout(ctx, fetchTime)
	defer cancel()
	var reply peer.FetchReply
	err := l.host.fleet.Call(ctx, from, "Fetch", &peer.FetchArgs{Kind: kind}, &reply)
	if err == nil && len(reply.Raw) > 0 {
		l.adopt(kind, reply.Raw)
	}
}
