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
	// platformReaders is the number of hosts of a domain that watch the platform.
	// The others fetch the lists from their peers.
	platformReaders = 2
	// fetchTimeout limits the fetch of a list from a peer.
	fetchTimeout = 2 * time.Second
	// initialReadTimeout limits a read of all lists from the platform. The host
	// then goes on with the lists of its peers.
	initialReadTimeout = time.Second
)

// listManager keeps the lists in force up to date with the platform and the peers.
type listManager struct {
	host *Host
	// initialReadDone is set after the first read of the lists from the platform and
	// the peers, whether or not they could be reached.
	initialReadDone atomic.Bool

	// mu guards fetching, rejectReasons and readErrors.
	mu sync.Mutex
	// adoptMu ensures that lists are adopted one at a time.
	adoptMu sync.Mutex
	// fetching holds the lists for which a fetch from a peer is in progress.
	fetching map[plan.ListKind]bool
	// stopWatching stops the watches of the platform. It is nil while there are none.
	stopWatching context.CancelFunc
	watchers     sync.WaitGroup
	// rejectReasons gives, by list, why the last published version was rejected.
	rejectReasons map[plan.ListKind]string
	// readErrors gives, by list, the error of the last read from the platform. It has
	// no entry after a successful read.
	readErrors map[plan.ListKind]string
}

// newListManager returns a list manager for a host. It starts no reads.
func newListManager(h *Host) *listManager {
	return &listManager{host: h, fetching: map[plan.ListKind]bool{}, rejectReasons: map[plan.ListKind]string{}, readErrors: map[plan.ListKind]string{}}
}

// adopt puts a list in force if it is valid and newer than the one in force.
func (l *listManager) adopt(kind plan.ListKind, raw []byte) {
	l.adoptMu.Lock()
	defer l.adoptMu.Unlock()
	h := l.host
	next, err := h.State().WithList(kind, raw)
	var oldVersionErr *plan.OldVersionError
	if errors.As(err, &oldVersionErr) && !oldVersionErr.Conflict {
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
		h.upstreams.Update(next.Upstreams)
	case plan.KindHosts:
		h.fleet.setHostList(next.Hosts)
	}
	h.local.Refresh()
	h.fallback.Refresh()
}

// reject reports a list that can't be adopted. It counts every rejection, but logs
// one only when the reason has changed.
func (l *listManager) reject(kind plan.ListKind, err error) {
	l.host.metrics.RecordRejectedList(kind)
	l.mu.Lock()
	isKnown := l.rejectReasons[kind] == err.Error()
	l.rejectReasons[kind] = err.Error()
	l.mu.Unlock()
	if !isKnown {
		l.host.log.Warn("invalid list rejected; keeping the list in force", "list", string(kind), "reason", err.Error())
	}
}

// clearReject forgets why a list was rejected.
func (l *listManager) clearReject(kind plan.ListKind) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.rejectReasons, kind)
}

// rejections returns, for each list whose newest published version was rejected, the
// reason.
func (l *listManager) rejections() map[plan.ListKind]string {
	l.mu.Lock()
	defer l.mu.Unlock()
	reasons := map[plan.ListKind]string{}
	for kind, reason := range l.rejectReasons {
		reasons[kind] = reason
	}
	return reasons
}

// recordReadError counts a failed read of a list from the platform. Of consecutive
// failures it logs the first only.
func (l *listManager) recordReadError(kind plan.ListKind, err error) {
	l.host.metrics.Inc("mulberrydyke_platform_failures_total")
	l.mu.Lock()
	isFirst := l.readErrors[kind] == ""
	l.readErrors[kind] = err.Error()
	l.mu.Unlock()
	if isFirst {
		l.host.log.Warn("cannot read from the platform; keeping the lists in force", "list", string(kind), "reason", err.Error())
	}
}

// clearReadError records a successful read of a list. It logs the first one after a
// failure.
func (l *listManager) clearReadError(kind plan.ListKind) {
	l.mu.Lock()
	failed := l.readErrors[kind] != ""
	delete(l.readErrors, kind)
	l.mu.Unlock()
	if failed {
		l.host.log.Info("reading from the platform succeeded again", "list", string(kind))
	}
}

// readAll reads every list from the platform once.
func (l *listManager) readAll(ctx context.Context) {
	var wg sync.WaitGroup
	for _, kind := range plan.ListKinds() {
		wg.Go(func() {
			v, err := l.host.platform.Read(ctx, kind)
			if err != nil {
				l.recordReadError(kind, err)
				return
			}
			l.adopt(kind, v.Raw)
		})
	}
	wg.Wait()
}

// setWatching starts or stops the watches of the platform's lists.
func (l *listManager) setWatching(ctx context.Context, watch bool) {
	if watch == (l.stopWatching != nil) {
		return
	}
	if !watch {
		l.stopWatching()
		l.watchers.Wait()
		l.stopWatching = nil
		return
	}
	ctx, l.stopWatching = context.WithCancel(ctx)
	for _, kind := range plan.ListKinds() {
		updates := make(chan registry.Value)
		l.watchers.Go(func() {
			l.host.platform.Watch(ctx, kind, updates, func(err error) {
				if ctx.Err() == nil {
					l.recordReadError(kind, err)
				}
			})
		})
		l.watchers.Go(func() { l.adoptUpdates(ctx, updates) })
	}
}

// adoptUpdates adopts the lists that a watch reports.
func (l *listManager) adoptUpdates(ctx context.Context, updates <-chan registry.Value) {
	for {
		select {
		case v := <-updates:
			l.clearReadError(v.Kind)
			l.adopt(v.Kind, v.Raw)
		case <-ctx.Done():
			return
		}
	}
}

// fetchNewer starts a fetch of each list of which a peer has a newer version.
func (l *listManager) fetchNewer(ctx context.Context, from member.Identity, versions plan.Versions) {
	for _, kind := range plan.ListKinds() {
		if versions.Of(kind) > l.host.State().Versions().Of(kind) && l.beginFetch(kind) {
			l.host.background.Go(func() {
				defer l.endFetch(kind)
				l.fetch(ctx, from, kind)
			})
		}
	}
}

// fetchNewest fetches the highest version of each list that any peer has reported,
// and waits for the fetches to finish.
func (l *listManager) fetchNewest(ctx context.Context) {
	for _, kind := range plan.ListKinds() {
		highest := l.host.State().Versions().Of(kind)
		var from member.Identity
		for _, host := range l.host.fleet.hosts() {
			if v := host.Versions.Of(kind); v > highest {
				highest, from = v, host.Identity
			}
		}
		if from.ID != "" {
			l.fetch(ctx, from, kind)
		}
	}
}

// beginFetch marks a list as being fetched. It returns false if it already is.
func (l *listManager) beginFetch(kind plan.ListKind) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fetching[kind] {
		return false
	}
	l.fetching[kind] = true
	return true
}

// endFetch marks the fetch of a list as finished.
func (l *listManager) endFetch(kind plan.ListKind) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.fetching, kind)
}

// fetch requests a list from a peer and adopts it. Errors are ignored; the peer's next
// heartbeat starts another fetch.
func (l *listManager) fetch(ctx context.Context, from member.Identity, kind plan.ListKind) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var reply peer.FetchReply
	err := l.host.fleet.Call(ctx, from, "Fetch", &peer.FetchArgs{Kind: kind}, &reply)
	if err == nil && len(reply.Raw) > 0 {
		l.adopt(kind, reply.Raw)
	}
}
