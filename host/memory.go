package host

import (
	"os"
	"runtime/debug"
	"sync"

	"mulberrydyke/setting"
)

// memoryLimitFraction is the part of the machine's memory that is set as the soft memory limit of
// the Go runtime, so that memory that callers no longer use is collected in time.
const memoryLimitFraction = 0.6

// processMemory is the memory of all hosts of the process, in bytes.
var processMemory struct {
	sync.Mutex
	bytes int64
}

// addProcessMemory adds the memory of a host to the one from which the soft limit follows. The returned
// function takes it away again. A limit in the environment stays in force.
func addProcessMemory(b setting.Bounds) func() {
	if os.Getenv("GOMEMLIMIT") != "" {
		return func() {}
	}
	changeProcessMemory(machineMemory(b))
	return func() { changeProcessMemory(-machineMemory(b)) }
}

func changeProcessMemory(bytes int64) {
	processMemory.Lock()
	defer processMemory.Unlock()
	processMemory.bytes += bytes
	if processMemory.bytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(processMemory.bytes)))
	}
}

// machineMemory returns the memory that the settings name, or the default.
func machineMemory(b setting.Bounds) int64 {
	if b.MemoryBytes > 0 {
		return b.MemoryBytes
	}
	return setting.DefaultBounds().MemoryBytes
}
