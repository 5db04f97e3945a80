package target

import "time"

// Options describes one target.
type Options struct {
	Version  string
	Slots    int // requests that run at the same time
	Queue    int // requests that may wait
	MaxConns int
	// ConnCost is the time that a slot is lost to each new connection.
	ConnCost time.Duration
	// ServiceTime is the mean time of a warm request.
	ServiceTime time.Duration
	// ColdRequests is how many requests a cold target serves before it is warm; 0 starts it warm.
	ColdRequests int
	// ReportLag is the age of the load that health and load endpoints show.
	ReportLag time.Duration
	Defect    Defect
	Seed      uint64
	// Log receives each execution when it starts; nil keeps none.
	Log ExecutionLog
}

// Defect is what is wrong with a version.
type Defect struct {
	// FailRatio is the part of the requests that fail.
	FailRatio float64 `json:"failRatio"`
	// SlowFactor multiplies the service time when above 1.
	SlowFactor float64 `json:"slowFactor"`
	// AfterRequests delays the badness until so many requests were served.
	AfterRequests int `json:"afterRequests"`
	// AboveInFlight shows the badness only with more requests in flight.
	AboveInFlight int `json:"aboveInFlight"`
	// PathPrefix limits the badness to paths with this prefix.
	PathPrefix string `json:"pathPrefix"`
}
