package standin

import (
	"slices"
	"time"
)

// cachePrefix adds the blocks of a prompt to the prefix cache and returns how
// many leading blocks were cached already.
func (e *Engine) cachePrefix(blocks []uint64) int {
	hits, leading := 0, true
	for _, b := range blocks {
		if element, ok := e.prefixCache[b]; ok {
			e.lru.MoveToFront(element)
			if leading {
				hits++
			}
			continue
		}
		leading = false
		e.prefixCache[b] = e.lru.PushFront(b)
		if e.lru.Len() > e.options.PrefixCacheBlocks {
			delete(e.prefixCache, e.lru.Remove(e.lru.Back()).(uint64))
		}
	}
	return hits
}

// reservedTokens returns the number of KV cache tokens that the running requests
// may use at most.
func (e *Engine) reservedTokens() int {
	sum := 0
	for _, g := range e.running {
		sum += g.promptTokens + g.maxTokens
	}
	return sum
}

// recordSample records the load, at most four times per ReportLag. Samples are
// kept because reports show the load as it was ReportLag ago.
func (e *Engine) recordSample(now time.Time) {
	if n := len(e.samples); n > 0 && now.Sub(e.samples[n-1].takenAt) < e.options.ReportLag/4 {
		return
	}
	e.samples = append(e.samples, loadSample{takenAt: now, report: LoadReport{
		Running: len(e.running), Waiting: len(e.waiting),
		KVCacheUsage: float64(e.reservedTokens()) / float64(e.options.KVCacheTokens),
	}})
	const maxSamples = 32
	if len(e.samples) > maxSamples {
		e.samples = e.samples[len(e.samples)-maxSamples:]
	}
}

// LoadReport returns the newest load sample that is at least ReportLag old.
func (e *Engine) LoadReport(now time.Time) LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, sample := range slices.Backward(e.samples) {
		if age := now.Sub(sample.takenAt); age >= e.options.ReportLag {
			sample.report.AgeMS = age.Milliseconds()
			return sample.report
		}
	}
	return LoadReport{}
}
