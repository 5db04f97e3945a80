package capacity

import (
	"runtime"
	"syscall"
	"time"
)

// usage is what this process has used since it started.
type usage struct {
	at        time.Time
	processor time.Duration // user and system
	allocated uint64        // bytes
}

func now() usage {
	var used syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &used)
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return usage{
		at: time.Now(), processor: time.Duration(used.Utime.Nano() + used.Stime.Nano()), allocated: memory.TotalAlloc,
	}
}

// spent returns what was used since an earlier time.
func (u usage) spent() usage {
	n := now()
	return usage{processor: n.processor - u.processor, allocated: n.allocated - u.allocated, at: n.at}
}

// micros returns the processor time in microseconds divided by count.
func (u usage) micros(count float64) float64 {
	return float64(u.processor) / float64(time.Microsecond) / count
}

// kilobytes returns the allocated kilobytes divided by count.
func (u usage) kilobytes(count float64) float64 {
	return float64(u.allocated) / 1024 / count
}

// heap returns the bytes in use after a collection. The second collection frees
// what the first one only emptied from pools.
func heap() float64 {
	runtime.GC()
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return float64(memory.HeapAlloc)
}
