// Package standin holds small stand-ins of what the product meets: the
// platform's configuration service, a model engine and a plain service. They
// serve the demonstration, the load tool and the tests; the engine and the
// service keep a ledger of every run.
package standin

import (
	"context"
	"encoding/json"
	"io"
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

// connections bounds what one stand-in accepts.
const connections = 8192

// PlatformFaults are the faults that a stand-in platform can show.
type PlatformFaults struct {
	// Down answers every read with an error.
	Down bool `json:"down"`
	// Stale hides values that were published after it was set.
	FreezeValues bool `json:"stale"`
	// Delay is added to every answer.
	Delay plan.Duration `json:"delay"`
}

type revision struct {
	index uint64
	raw   []byte
}

// Platform is a stand-in of the configuration service.
type Platform struct {
	mu     sync.Mutex
	values map[plan.Kind]revision
	shown  map[plan.Kind]revision
	faults PlatformFaults
	// changed is closed and replaced at every change.
	changed chan struct{}
	calls   int
}

// NewPlatform returns a platform without values.
func NewPlatform() *Platform {
	return &Platform{
		values:  map[plan.Kind]revision{},
		shown:   map[plan.Kind]revision{},
		changed: make(chan struct{}),
	}
}

// Publish sets the value of a list. Bytes that are no valid list are published
// as well, as operators might.
func (p *Platform) Publish(kind plan.Kind, raw []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.values[kind] = revision{index: p.values[kind].index + 1, raw: raw}
	p.wake()
}

// PublishList sets the value of a list to v as JSON.
func (p *Platform) PublishList(kind plan.Kind, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	p.Publish(kind, raw)
}

// SetFaults switches faults.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.wake()
}

// Calls returns how many reads and watches were made.
func (p *Platform) Calls() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// wake shows new values and wakes the watches. The lock is held.
func (p *Platform) wake() {
	if !p.faults.FreezeValues {
		for kind, r := range p.values {
			p.shown[kind] = r
		}
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Platform) look(kind plan.Kind) (revision, PlatformFaults, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.shown[kind], p.faults, p.changed
}

// Serve listens on address and returns the address and a clean-up function.
func (p *Platform) Serve(address string) (string, func(), error) {
	return web.Serve(address, []rest.Route{
		{Method: http.MethodGet, Path: "/v1/values/:kind", Handler: p.get},
		{Method: http.MethodPut, Path: "/v1/values/:kind", Handler: p.put},
		{Method: http.MethodPut, Path: "/faults", Handler: p.putFaults},
	}, http.NotFound, connections)
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	p.calls++
	p.mu.Unlock()
	kind := plan.Kind(pathvar.Vars(r)["kind"])
	index, _ := strconv.ParseUint(r.FormValue("index"), 10, 64)
	wait, _ := time.ParseDuration(r.FormValue("wait"))
	value, faults := p.await(r.Context(), kind, index, wait)
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

// await returns the value once its index is not the given one, the platform
// is down, or the wait is over.
func (p *Platform) await(ctx context.Context, kind plan.Kind, index uint64, wait time.Duration) (revision, PlatformFaults) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		value, faults, changed := p.look(kind)
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
	p.Publish(plan.Kind(pathvar.Vars(r)["kind"]), raw)
}

func (p *Platform) putFaults(w http.ResponseWriter, r *http.Request) {
	var f PlatformFaults
	if web.ReadJSON(w, r, &f) {
		p.SetFaults(f)
	}
}
