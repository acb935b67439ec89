package dispatch

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mulberrydyke/call"
)

// heapBytes returns what is in use of the heap.
func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// TestPrefixCacheKeepsNoHeads guards against memory that stays after requests have ended: the keys of
// the cache pointed into the heads of the requests, each of which stayed as a whole. The memory may not
// grow with the length of the heads, of the IDs or with the number of requests.
func TestPrefixCacheKeepsNoHeads(t *testing.T) {
	const headBytes, maxBytes = 16 << 10, 8 << 20
	for name, idBytes := range map[string]int{"short IDs": 8, "long IDs": headBytes / 2} {
		for _, requests := range []int{1000, 100_000} {
			t.Run(fmt.Sprintf("%s, %d requests", name, requests), func(t *testing.T) {
				cache := newPrefixCache(time.Hour)
				before := heapBytes()
				for i := range requests {
					head := fmt.Sprintf("%0*x", idBytes, i) + strings.Repeat("f", headBytes-idBytes)
					prompt := &call.Prompt{Parts: []call.PromptPart{{ID: head[:idBytes], Tokens: 1}, {ID: head[idBytes:], Tokens: 1}}}
					cache.recordSent(startTime, "engine", prompt)
				}
				if grown := heapBytes() - before; grown > maxBytes {
					t.Errorf("%d bytes are kept, want at most %d", grown, maxBytes)
				}
				runtime.KeepAlive(cache)
			})
		}
	}
}

// TestLongPartIDsAreToldApart checks that parts with long IDs are found again, and not taken for others.
func TestLongPartIDsAreToldApart(t *testing.T) {
	long := strings.Repeat("a", 2*maxPartIDBytes)
	cache := newPrefixCache(time.Hour)
	prompt := func(id string) *call.Prompt {
		return &call.Prompt{Parts: []call.PromptPart{{ID: id, Tokens: 100}, {ID: "own", Tokens: 20}}, Tokens: 120}
	}
	cache.recordSent(startTime, "engine", prompt(long))
	got := []int{cache.uncachedTokens(startTime, "engine", prompt(long)), cache.uncachedTokens(startTime, "engine", prompt(long+"b"))}
	if diff := cmp.Diff([]int{20, 120}, got); diff != "" {
		t.Error(diff)
	}
	cache.forget("engine", prompt(long))
	if got := cache.uncachedTokens(startTime, "engine", prompt(long)); got != 120 {
		t.Errorf("%d tokens are uncached after the engine refused the prompt, want 120", got)
	}
}
