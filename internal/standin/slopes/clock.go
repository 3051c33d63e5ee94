package slopes

import (
	"runtime"
	"syscall"
	"time"
)

// rusageThread selects the calling thread in getrusage.
const rusageThread = 1

// threadCPUTime returns the processor time of the calling thread, which must be
// locked. Unlike the clock, it leaves out the time that other processes take.
func threadCPUTime() time.Duration { return cpuTime(rusageThread) }

// processCPUTime returns the processor time of the process, the garbage
// collector's included.
func processCPUTime() time.Duration { return cpuTime(syscall.RUSAGE_SELF) }

func cpuTime(who int) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(who, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// onLockedThread runs work on a onLockedThread thread, for threadTime.
func onLockedThread(work func()) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	work()
}
