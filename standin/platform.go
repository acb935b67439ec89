// Package standin implements small simulations of the router's dependencies:
// the platform's configuration service, an inference engine and a plain HTTP
// service. The demo, the load tool and the tests use them. The engine and the
// service record every run in a ledger.
package standin

import (
	"context"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/pathvar"

	"mulberrydyke/plan"
	"mulberrydyke/registry"
	"mulberrydyke/web"
)

// maxConnections limits the open connections of each server.
const maxConnections = 8192

// PlatformFaults selects the faults that a platform simulates.
type PlatformFaults struct {
	// Down makes every read fail with status 503.
	Down bool `json:"down"`
	// FreezeValues hides values published after it was set.
	FreezeValues bool `json:"stale"`
	// Delay is added to every response.
	Delay plan.Duration `json:"delay"`
}

// revision is a published value with its index.
type revision struct {
	index uint64
	raw   []byte
}

// Platform simulates the configuration service.
type Platform struct {
	mu     sync.Mutex
	values map[plan.ListKind]revision
	// visible holds the values that reads return. It lags behind values while the
	// fault FreezeValues is set.
	visible map[plan.ListKind]revision
	faults  PlatformFaults
	// changed is closed and replaced whenever values or faults change.
	changed chan struct{}
	calls   int
}

// NewPlatform returns a platform with no published values.
func NewPlatform() *Platform {
	return &Platform{
		values:  map[plan.ListKind]revision{},
		visible: map[plan.ListKind]revision{},
		changed: make(chan struct{}),
	}
}

// Publish sets the value of a list. It does not validate raw, because operators
// may publish invalid lists too.
func (p *Platform) Publish(kind plan.ListKind, raw []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.values[kind] = revision{index: p.values[kind].index + 1, raw: raw}
	p.notifyLocked()
}

// PlatformCopy is what a platform held at one time.
type PlatformCopy struct{ values map[plan.ListKind]revision }

// Copy returns what the platform holds now.
func (p *Platform) Copy() PlatformCopy {
	p.mu.Lock()
	defer p.mu.Unlock()
	return PlatformCopy{values: maps.Clone(p.values)}
}

// Restore puts the platform back to a copy. Indexes that were used since then are given
// out again.
func (p *Platform) Restore(c PlatformCopy) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.values, p.visible = maps.Clone(c.values), map[plan.ListKind]revision{}
	p.notifyLocked()
}

// PublishList sets the value of a list to the JSON encoding of v.
func (p *Platform) PublishList(kind plan.ListKind, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	p.Publish(kind, raw)
}

// SetFaults replaces the simulated faults.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.notifyLocked()
}

// Calls returns the number of reads and watches so far.
func (p *Platform) Calls() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// notifyLocked makes published values visible, unless they are frozen, and wakes
// all watches. The caller holds p.mu.
func (p *Platform) notifyLocked() {
	if !p.faults.FreezeValues {
		for kind, r := range p.values {
			p.visible[kind] = r
		}
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// snapshot returns the visible value of a list, the faults and a channel that is
// closed at the next change.
func (p *Platform) snapshot(kind plan.ListKind) (revision, PlatformFaults, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.visible[kind], p.faults, p.changed
}

// Serve listens on address and returns the actual address and a function that
// stops the listener.
func (p *Platform) Serve(address string) (string, func(), error) {
	return web.Serve(address, []rest.Route{
		{Method: http.MethodGet, Path: "/v1/values/:kind", Handler: p.get},
		{Method: http.MethodPut, Path: "/v1/values/:kind", Handler: p.put},
		{Method: http.MethodPut, Path: "/faults", Handler: p.putFaults},
	}, http.NotFound, maxConnections)
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	p.calls++
	p.mu.Unlock()
	kind := plan.ListKind(pathvar.Vars(r)["kind"])
	index, _ := strconv.ParseUint(r.FormValue("index"), 10, 64)
	timeout, _ := time.ParseDuration(r.FormValue("wait"))
	value, faults := p.awaitChange(r.Context(), kind, index, timeout)
	time.Sleep(faults.Delay.Std())
	if faults.Down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set(registry.IndexHeader, strconv.FormatUint(value.index, 10))
	if value.index == index {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	_, _ = w.Write(value.raw)
}

// awaitChange returns the value as soon as its index differs from index or the
// platform is down, and at the latest after timeout or when ctx ends.
func (p *Platform) awaitChange(ctx context.Context, kind plan.ListKind, index uint64, timeout time.Duration) (revision, PlatformFaults) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		value, faults, changed := p.snapshot(kind)
		if value.index != index || faults.Down {
			return value, faults
		}
		select {
		case <-changed:
		case <-timer.C:
			return value, faults
		case <-ctx.Done():
			return value, faults
		}
	}
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(io.LimitReader(r.Body, 2*plan.MaxListBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.Publish(plan.ListKind(pathvar.Vars(r)["kind"]), raw)
}

func (p *Platform) putFaults(w http.ResponseWriter, r *http.Request) {
	var f PlatformFaults
	if web.ReadJSON(w, r, &f) {
		p.SetFaults(f)
	}
}
