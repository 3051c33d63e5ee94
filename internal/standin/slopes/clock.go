package slopes

import (
	"runtime"
	"syscall"
	"time"
)

// rusageThread is RUSAGE_THREAD of getrusage(2), the calling thread only.
const rusageThread = 1

// threadCPUTime returns the CPU time of the calling thread. The goroutine must be
// locked to its thread. Unlike wall time, CPU time excludes the time that other
// processes use.
func threadCPUTime() time.Duration { return cpuTime(rusageThread) }

// processCPUTime returns the CPU time of the process, including garbage
// collection.
func processCPUTime() time.Duration { return cpuTime(syscall.RUSAGE_SELF) }

func cpuTime(who int) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(who, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// onLockedThread runs work with the goroutine locked to its thread, as
// threadCPUTime requires.
func onLockedThread(work func()) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	work()
}
