package slopes

import (
	"runtime"
	"syscall"
	"time"
)

// rusageThread selects the calling thread in getrusage.
const rusageThread = 1

// threadTime returns the processor time of the calling thread, which must be
// locked. Unlike the clock, it leaves out the time that other processes take.
func threadTime() time.Duration { return processorTime(rusageThread) }

// processTime returns the processor time of the process, the garbage
// collector's included.
func processTime() time.Duration { return processorTime(syscall.RUSAGE_SELF) }

func processorTime(who int) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(who, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// locked runs work on a locked thread, for threadTime.
func locked(work func()) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	work()
}
