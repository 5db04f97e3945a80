package capacity

import (
	"runtime"
	"syscall"
	"time"
)

// usage is the CPU time and the allocated memory of this process since its start, or between two
// times.
type usage struct {
	at        time.Time
	cpuTime   time.Duration // user and system
	allocated uint64        // bytes
}

func currentUsage() usage {
	var rusage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &rusage)
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return usage{
		at: time.Now(), cpuTime: time.Duration(rusage.Utime.Nano() + rusage.Stime.Nano()), allocated: memory.TotalAlloc,
	}
}

// untilNow returns the usage between u and now. Its at is the present time.
func (u usage) untilNow() usage {
	current := currentUsage()
	return usage{cpuTime: current.cpuTime - u.cpuTime, allocated: current.allocated - u.allocated, at: current.at}
}

// cpuMicros returns the CPU time in microseconds divided by count.
func (u usage) cpuMicros(count float64) float64 {
	return float64(u.cpuTime) / float64(time.Microsecond) / count
}

// allocatedKB returns the allocated kilobytes divided by count.
func (u usage) allocatedKB(count float64) float64 {
	return float64(u.allocated) / 1024 / count
}

// heapBytes returns the heap in use after garbage collection. The second collection frees objects
// that the first one only moved out of sync.Pools.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return float64(memory.HeapAlloc)
}
