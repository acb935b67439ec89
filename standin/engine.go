package standin

import (
	"container/list"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"mulberrydyke/plan"
)

// EngineOptions sizes a stand-in engine.
type EngineOptions struct {
	// Name is the engine's name in its ledger.
	Name string
	// Batch is the most requests that run at once. Others wait.
	MaxBatchSize int
	// Step is the time of one token while a single request runs.
	StepTime time.Duration
	// Slope is the part of Step that every further request adds.
	StepSlowdown float64
	// PromptRate is how many prompt tokens are read in a second.
	PromptTokensPerSecond float64
	// Memory is the KV memory in tokens.
	KVCacheTokens int
	// CacheBlocks is how many prompt blocks the prefix cache holds.
	PrefixCacheBlocks int
	// ReportLag is how old a load report is.
	ReportLag time.Duration
}

// DefaultEngineOptions returns a small engine.
func DefaultEngineOptions(name string) EngineOptions {
	return EngineOptions{
		Name: name, MaxBatchSize: 16, StepTime: 10 * time.Millisecond, StepSlowdown: 0.05,
		PromptTokensPerSecond: 20000, KVCacheTokens: 200_000, PrefixCacheBlocks: 1024,
		ReportLag: 500 * time.Millisecond,
	}
}

// EngineFaults are the faults that a stand-in engine can show.
type EngineFaults struct {
	// Refuse answers every request with status 503 before running it.
	Refuse bool `json:"refuse"`
	// Silent stops all progress and keeps connections open.
	Hang bool `json:"silent"`
	// Reset breaks every stream after this many tokens. Zero means never.
	ResetAfterTokens int `json:"reset"`
	// Slow multiplies the time of each step. Zero means 1.
	SlowFactor float64 `json:"slow"`
	// Poison makes the engine crash on a prompt that contains the text.
	PoisonText string `json:"poison"`
	// Down closes connections at once.
	Down bool `json:"down"`
	// Restart is how long a crash lasts. Zero means one second.
	RestartTime plan.Duration `json:"restart"`
}

const (
	charsPerToken = 4
	blockChars    = 256
	finishedKept  = 1024
)

// generation is one request inside an engine.
type generation struct {
	id       string
	priority int
	prompt   int
	blocks   []uint64
	output   int
	mark     string
	entry    *Entry
	// reading is what is left of the prompt, in tokens.
	reading float64

	mu       sync.Mutex
	produced int
	over     bool
	crashed  bool
	// moved is closed and replaced at every change.
	moved chan struct{}
}

func (g *generation) move(change func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change()
	close(g.moved)
	g.moved = make(chan struct{})
}

func (g *generation) look() (produced int, over, crashed bool, moved <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.produced, g.over, g.crashed, g.moved
}

// text returns the token at an index. It depends on the request's mark alone,
// so that a caller can tell its own answer.
func (g *generation) text(i int) string { return TokenText(g.mark, i) }

// TokenText returns the token that an engine generates at index i for a prompt
// with the given mark.
func TokenText(mark string, i int) string { return mark + "." + strconv.Itoa(i) + " " }

// MarkOf returns the mark of a prompt: a hash of its content.
func ContentHash(prompt string) string {
	return strconv.FormatUint(xxhash.Sum64String(prompt)%0xffffff, 16)
}

// Engine is a stand-in of a model engine with continuous batching.
type Engine struct {
	options EngineOptions
	ledger  *Ledger

	mu       sync.Mutex
	instance string
	faults   EngineFaults
	deadline time.Time // end of a crash
	running  []*generation
	waiting  []*generation
	byID     map[string]*generation
	finished *list.List
	cache    map[uint64]*list.Element
	recent   *list.List
	reports  []loadSample
	added    chan struct{}
	restarts int
}

type loadSample struct {
	at    time.Time
	value LoadReport
}

// Load is an engine's report of its load.
type LoadReport struct {
	Running        int     `json:"running"`
	Waiting        int     `json:"waiting"`
	MemoryFraction float64 `json:"memory"`
	AgeMS          int64   `json:"age-ms"`
}

// NewEngine returns an engine and a clean-up function that stops it.
func NewEngine(o EngineOptions) (*Engine, func()) {
	e := &Engine{
		options: o, ledger: &Ledger{}, byID: map[string]*generation{}, finished: list.New(),
		cache: map[uint64]*list.Element{}, recent: list.New(), added: make(chan struct{}, 1),
		instance: newInstance(o.Name),
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.loop(ctx)
	}()
	return e, func() {
		cancel()
		<-done
	}
}

func newInstance(name string) string {
	return fmt.Sprintf("%s-%x", name, rand.Uint64())
}

// Ledger returns the engine's ledger.
func (e *Engine) Ledger() *Ledger { return e.ledger }

// SetFaults switches faults.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Faults returns the present faults.
func (e *Engine) Faults() EngineFaults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// Instance returns the name of the engine's present start.
func (e *Engine) Instance() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.instance
}

// Crashes returns how often the engine crashed.
func (e *Engine) Crashes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.restarts
}

// Crash ends every run and refuses connections for a while, as a process does
// that dies and is started again.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash(time.Now())
}

func (e *Engine) crash(now time.Time) {
	span := e.faults.RestartTime.Std()
	if span == 0 {
		span = time.Second
	}
	for _, g := range append(e.running, e.waiting...) {
		g.move(func() { g.over, g.crashed = true, true })
	}
	e.running, e.waiting = nil, nil
	e.byID = map[string]*generation{}
	e.finished.Init()
	e.cache = map[uint64]*list.Element{}
	e.recent.Init()
	e.instance = newInstance(e.options.Name)
	e.deadline = now.Add(span)
	e.restarts++
}

// isDown says whether connections are closed at once.
func (e *Engine) isDown(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.Down || now.Before(e.deadline)
}

// submit takes in a request that the process named by instance accepted. It
// returns nil where that process died of it, or before it.
func (e *Engine) submit(instance, id, ticket, prompt string, output, priority int) *generation {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.instance != instance {
		return nil
	}
	mark := ContentHash(prompt)
	g := &generation{
		id: id, priority: priority, prompt: len(prompt)/charsPerToken + 1, blocks: blocksOf(prompt),
		output: output, mark: mark, moved: make(chan struct{}),
		entry: e.ledger.Begin(Entry{Upstream: e.options.Name, RequestID: id, Ticket: ticket, StartedAt: time.Now(), ContentHash: mark}),
	}
	if e.faults.PoisonText != "" && strings.Contains(prompt, e.faults.PoisonText) {
		e.crash(time.Now())
		return nil
	}
	e.byID[id] = g
	e.waiting = append(e.waiting, g)
	slices.SortStableFunc(e.waiting, func(a, b *generation) int { return b.priority - a.priority })
	select {
	case e.added <- struct{}{}:
	default:
	}
	return g
}

func blocksOf(prompt string) []uint64 {
	var out []uint64
	d := xxhash.New()
	for i := 0; i+blockChars <= len(prompt); i += blockChars {
		_, _ = d.WriteString(prompt[i : i+blockChars])
		out = append(out, d.Sum64())
	}
	return out
}

// find returns a request that runs or finished lately.
func (e *Engine) find(id string) *generation {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.byID[id]
}

// cancel ends a request.
func (e *Engine) cancel(g *generation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	gone := func(x *generation) bool { return x == g }
	e.running = slices.DeleteFunc(e.running, gone)
	e.waiting = slices.DeleteFunc(e.waiting, gone)
	delete(e.byID, g.id)
	g.move(func() { g.over = true })
}

// loop advances the batch until ctx ends.
func (e *Engine) loop(ctx context.Context) {
	next := time.Now()
	for {
		busy, span := e.step(time.Now())
		if !busy {
			select {
			case <-ctx.Done():
				return
			case <-e.added:
			}
			next = time.Now()
			continue
		}
		next = next.Add(span)
		if behind := time.Since(next); behind > span {
			next = time.Now()
		}
		timer := time.NewTimer(time.Until(next))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
	}
}

// step generates one token for each running request. It returns false where
// nothing is left to do, and the time that the step takes.
func (e *Engine) step(now time.Time) (bool, time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.note(now)
	if e.faults.Hang {
		return true, e.options.StepTime
	}
	e.admit()
	if len(e.running) == 0 {
		return false, 0
	}
	slow := e.faults.SlowFactor
	if slow == 0 {
		slow = 1
	}
	scale := slow * (1 + e.options.StepSlowdown*float64(len(e.running)-1))
	span := time.Duration(scale * float64(e.options.StepTime))
	budget := e.options.PromptTokensPerSecond * e.options.StepTime.Seconds()
	var left []*generation
	for _, g := range e.running {
		if g.reading > 0 {
			used := min(budget, g.reading)
			budget -= used
			g.reading -= used
			left = append(left, g)
			continue
		}
		if e.produce(g) {
			left = append(left, g)
		}
	}
	e.running = left
	return true, span
}

// produce generates a token and says whether the request goes on.
func (e *Engine) produce(g *generation) bool {
	more := false
	g.move(func() {
		g.produced++
		g.over = g.produced >= g.output
		more = !g.over
	})
	e.ledger.update(g.entry, func(x *Entry) { x.GeneratedTokens, x.Completed = g.produced, !more })
	if !more {
		e.finished.PushBack(g.id)
		if e.finished.Len() > finishedKept {
			delete(e.byID, e.finished.Remove(e.finished.Front()).(string))
		}
	}
	return more
}

// admit moves waiting requests into the batch while slots and memory last.
func (e *Engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.options.MaxBatchSize {
		g := e.waiting[0]
		if len(e.running) > 0 && e.used()+g.prompt+g.output > e.options.KVCacheTokens {
			return
		}
		e.waiting = e.waiting[1:]
		cached := e.touch(g.blocks)
		g.reading = float64(max(1, g.prompt-cached*blockChars/charsPerToken))
		e.running = append(e.running, g)
	}
}

// touch puts the blocks of a prompt into the prefix cache and returns how many
// leading ones it held.
func (e *Engine) touch(blocks []uint64) int {
	hits, leading := 0, true
	for _, b := range blocks {
		if held, ok := e.cache[b]; ok {
			e.recent.MoveToFront(held)
			if leading {
				hits++
			}
			continue
		}
		leading = false
		e.cache[b] = e.recent.PushFront(b)
		if e.recent.Len() > e.options.PrefixCacheBlocks {
			delete(e.cache, e.recent.Remove(e.recent.Back()).(uint64))
		}
	}
	return hits
}

func (e *Engine) used() int {
	sum := 0
	for _, g := range e.running {
		sum += g.prompt + g.output
	}
	return sum
}

// note keeps load reports until they are old enough to be shown.
func (e *Engine) note(now time.Time) {
	if n := len(e.reports); n > 0 && now.Sub(e.reports[n-1].at) < e.options.ReportLag/4 {
		return
	}
	e.reports = append(e.reports, loadSample{at: now, value: LoadReport{
		Running: len(e.running), Waiting: len(e.waiting),
		MemoryFraction: float64(e.used()) / float64(e.options.KVCacheTokens),
	}})
	const kept = 32
	if len(e.reports) > kept {
		e.reports = e.reports[len(e.reports)-kept:]
	}
}

// Report returns the newest load report that is old enough to be shown.
func (e *Engine) LoadReport(now time.Time) LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range slices.Backward(e.reports) {
		if age := now.Sub(r.at); age >= e.options.ReportLag {
			r.value.AgeMS = age.Milliseconds()
			return r.value
		}
	}
	return LoadReport{}
}
