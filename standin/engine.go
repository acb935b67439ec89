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
)

// generation is a request that waits, runs or has finished in an engine.
type generation struct {
	id           string
	priority     int
	promptTokens int
	promptBlocks []uint64
	maxTokens    int
	contentHash  string
	ledgerEntry  *Entry
	// promptTokensLeft is the part of the prompt that is not processed yet.
	promptTokensLeft float64

	mu        sync.Mutex
	generated int
	done      bool
	crashed   bool
	// changed is closed and replaced after every update.
	changed chan struct{}
}

// update applies mutate under the lock and wakes all readers.
func (g *generation) update(mutate func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	mutate()
	close(g.changed)
	g.changed = make(chan struct{})
}

// state returns the progress and a channel that is closed at the next update.
func (g *generation) state() (generated int, done, crashed bool, changed <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.generated, g.done, g.crashed, g.changed
}

// token returns the token at index i. It depends only on the prompt's hash, so
// that a client can verify that a response belongs to its own request.
func (g *generation) token(i int) string { return TokenText(g.contentHash, i) }

// TokenText returns the token that an engine generates at index i for a prompt
// with the given ContentHash.
func TokenText(contentHash string, i int) string { return contentHash + "." + strconv.Itoa(i) + " " }

// ContentHash returns a short hash of a prompt or request body. The ledger and
// the generated tokens identify requests by it.
func ContentHash(prompt string) string {
	return strconv.FormatUint(xxhash.Sum64String(prompt)%0xffffff, 16)
}

// Engine simulates an inference engine with continuous batching.
type Engine struct {
	options EngineOptions
	ledger  *Ledger

	mu          sync.Mutex
	instance    string
	faults      EngineFaults
	downUntil   time.Time // end of the restart after a crash
	running     []*generation
	waiting     []*generation
	byID        map[string]*generation
	finished    *list.List // IDs of finished requests, oldest first
	prefixCache map[uint64]*list.Element
	lru         *list.List // blocks of prefixCache, most recently used first
	samples     []loadSample
	wake        chan struct{} // signals run that a request was submitted
	crashes     int
}

// loadSample is a load report and the time when it was taken.
type loadSample struct {
	takenAt time.Time
	report  LoadReport
}

// LoadReport is the body of an engine's response on /v1/load.
type LoadReport struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// KVCacheUsage is the reserved fraction of the KV cache.
	KVCacheUsage float64 `json:"memory"`
	AgeMS        int64   `json:"age-ms"`
}

// NewEngine starts an engine and returns it with a function that stops it.
func NewEngine(o EngineOptions) (*Engine, func()) {
	e := &Engine{
		options: o, ledger: &Ledger{}, byID: map[string]*generation{}, finished: list.New(),
		prefixCache: map[uint64]*list.Element{}, lru: list.New(), wake: make(chan struct{}, 1),
		instance: newInstance(o.Name),
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.run(ctx)
	}()
	return e, func() {
		cancel()
		<-done
	}
}

// newInstance returns a random name for one run of the engine process.
func newInstance(name string) string {
	return fmt.Sprintf("%s-%x", name, rand.Uint64())
}

// Ledger returns the engine's ledger.
func (e *Engine) Ledger() *Ledger { return e.ledger }

// SetFaults replaces the simulated faults.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Faults returns the simulated faults.
func (e *Engine) Faults() EngineFaults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// Instance returns the name of the current engine process. It changes with
// every crash.
func (e *Engine) Instance() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.instance
}

// Crashes returns the number of crashes so far.
func (e *Engine) Crashes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashes
}

// Crash simulates a crash and restart of the process: it aborts all requests,
// clears the caches, changes the instance name and closes connections until the
// restart time is over.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashLocked(time.Now())
}

// crashLocked does the work of Crash. The caller holds e.mu.
func (e *Engine) crashLocked(now time.Time) {
	downTime := e.faults.RestartTime.Std()
	if downTime == 0 {
		downTime = time.Second
	}
	for _, g := range append(e.running, e.waiting...) {
		g.update(func() { g.done, g.crashed = true, true })
	}
	e.running, e.waiting = nil, nil
	e.byID = map[string]*generation{}
	e.finished.Init()
	e.prefixCache = map[uint64]*list.Element{}
	e.lru.Init()
	e.instance = newInstance(e.options.Name)
	e.downUntil = now.Add(downTime)
	e.crashes++
}

// isDown reports whether connections are closed without a response.
func (e *Engine) isDown(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.Down || now.Before(e.downUntil)
}

// submit queues a request that was accepted by the given instance. It returns
// nil if that instance has crashed since, or crashes because of this request.
func (e *Engine) submit(instance, id, ticket, prompt string, maxTokens, priority int) *generation {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.instance != instance {
		return nil
	}
	contentHash := ContentHash(prompt)
	g := &generation{
		id: id, priority: priority, promptTokens: len(prompt)/charsPerToken + 1, promptBlocks: prefixBlocks(prompt),
		maxTokens: maxTokens, contentHash: contentHash, changed: make(chan struct{}),
		ledgerEntry: e.ledger.Begin(Entry{Upstream: e.options.Name, RequestID: id, Ticket: ticket, StartedAt: time.Now(), ContentHash: contentHash}),
	}
	if e.faults.PoisonText != "" && strings.Contains(prompt, e.faults.PoisonText) {
		e.crashLocked(time.Now())
		return nil
	}
	e.byID[id] = g
	e.waiting = append(e.waiting, g)
	slices.SortStableFunc(e.waiting, func(a, b *generation) int { return b.priority - a.priority })
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return g
}

// prefixBlocks returns a hash for each complete block of a prompt. Each hash
// covers the prompt from its beginning to the end of the block.
func prefixBlocks(prompt string) []uint64 {
	var hashes []uint64
	digest := xxhash.New()
	for i := 0; i+prefixBlockChars <= len(prompt); i += prefixBlockChars {
		_, _ = digest.WriteString(prompt[i : i+prefixBlockChars])
		hashes = append(hashes, digest.Sum64())
	}
	return hashes
}

// find returns a request that waits, runs or finished recently, or nil.
func (e *Engine) find(id string) *generation {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.byID[id]
}

// cancel removes a request from the engine.
func (e *Engine) cancel(g *generation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	isTarget := func(other *generation) bool { return other == g }
	e.running = slices.DeleteFunc(e.running, isTarget)
	e.waiting = slices.DeleteFunc(e.waiting, isTarget)
	delete(e.byID, g.id)
	g.update(func() { g.done = true })
}

// run executes steps until ctx is canceled.
func (e *Engine) run(ctx context.Context) {
	next := time.Now()
	for {
		busy, stepTime := e.step(time.Now())
		if !busy {
			select {
			case <-ctx.Done():
				return
			case <-e.wake:
			}
			next = time.Now()
			continue
		}
		next = next.Add(stepTime)
		// Don't make up for steps that are overdue by more than one step.
		if behind := time.Since(next); behind > stepTime {
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

// step runs one step of the batch: each running request processes a part of its
// prompt or generates one token. It returns the duration of the step, and false
// if there was no request to run.
func (e *Engine) step(now time.Time) (bool, time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recordSample(now)
	if e.faults.Hang {
		return true, e.options.StepTime
	}
	e.admit()
	if len(e.running) == 0 {
		return false, 0
	}
	slowFactor := e.faults.SlowFactor
	if slowFactor == 0 {
		slowFactor = 1
	}
	scale := slowFactor * (1 + e.options.StepSlowdown*float64(len(e.running)-1))
	stepTime := time.Duration(scale * float64(e.options.StepTime))
	promptBudget := e.options.PromptTokensPerSecond * e.options.StepTime.Seconds()
	var unfinished []*generation
	for _, g := range e.running {
		if g.promptTokensLeft > 0 {
			consumed := min(promptBudget, g.promptTokensLeft)
			promptBudget -= consumed
			g.promptTokensLeft -= consumed
			unfinished = append(unfinished, g)
			continue
		}
		if e.generateToken(g) {
			unfinished = append(unfinished, g)
		}
	}
	e.running = unfinished
	return true, stepTime
}

// generateToken generates a token and reports whether more are to follow.
func (e *Engine) generateToken(g *generation) bool {
	more := false
	g.update(func() {
		g.generated++
		g.done = g.generated >= g.maxTokens
		more = !g.done
	})
	e.ledger.update(g.ledgerEntry, func(entry *Entry) { entry.GeneratedTokens, entry.Completed = g.generated, !more })
	if !more {
		e.finished.PushBack(g.id)
		if e.finished.Len() > maxFinished {
			delete(e.byID, e.finished.Remove(e.finished.Front()).(string))
		}
	}
	return more
}

// admit moves waiting requests into the batch while the batch size and the KV
// cache allow it. An empty batch admits a request of any size.
func (e *Engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.options.MaxBatchSize {
		g := e.waiting[0]
		if len(e.running) > 0 && e.reservedTokens()+g.promptTokens+g.maxTokens > e.options.KVCacheTokens {
			return
		}
		e.waiting = e.waiting[1:]
		cachedBlocks := e.cachePrefix(g.promptBlocks)
		g.promptTokensLeft = float64(max(1, g.promptTokens-cachedBlocks*prefixBlockChars/charsPerToken))
		e.running = append(e.running, g)
	}
}
