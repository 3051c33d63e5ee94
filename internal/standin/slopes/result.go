package slopes

import (
	"runtime"
	"time"
)

// newResult returns a Result that identifies the build and the machine.
func newResult(o Options) Result {
	return Result{
		Revision:  o.Revision,
		GoVersion: runtime.Version(),
		Cores:     runtime.NumCPU(),
		Seed:      o.Seed,
		Began:     time.Now().UTC(),
	}
}

// liveHeapBytes runs the garbage collector and returns the bytes of live heap
// objects.
func liveHeapBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
