package target

import "time"

// Options configures a target.
type Options struct {
	Version  string
	Slots    int // requests that run concurrently
	Queue    int // requests that may wait for a slot
	MaxConns int
	// ConnCost is how long each new connection occupies a slot.
	ConnCost time.Duration
	// ServiceTime is the mean service time of a warm target.
	ServiceTime time.Duration
	// ColdRequests is the number of requests after which a cold target is warm; 0 starts it warm.
	ColdRequests int
	// ReportLag is the age of the load that the health and load endpoints report.
	ReportLag time.Duration
	Defect    Defect
	Seed      uint64
	// Log records each execution when it starts; without a writer it records none.
	Log ExecutionLog
}

// Defect describes how a defective version fails or slows down.
type Defect struct {
	// FailRatio is the fraction of requests that fail.
	FailRatio float64 `json:"failRatio"`
	// SlowFactor multiplies the service time when above 1.
	SlowFactor float64 `json:"slowFactor"`
	// AfterRequests is the number of requests served before the defect takes effect.
	AfterRequests int `json:"afterRequests"`
	// AboveInFlight limits the defect to requests that start with more than this number in
	// flight, themselves included.
	AboveInFlight int `json:"aboveInFlight"`
	// PathPrefix limits the defect to paths with this prefix.
	PathPrefix string `json:"pathPrefix"`
}
