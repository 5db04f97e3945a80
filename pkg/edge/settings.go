package edge

import "time"

// Settings are the start parameters of a node on the platform.
type Settings struct {
	Node       string
	DataCentre string
	// Regions maps data centres to regions.
	Regions     map[string]string
	MemoryBytes int64
	// Cores is the node's CPU share in cores, LinkMbps the bandwidth of its link.
	Cores        float64
	LinkMbps     float64
	CallerListen string
	ReadyListen  string
	// PeerListen is the listen address for other nodes.
	PeerListen    string
	MetricsListen string
	// Seeds are peer addresses of at most three nodes, which may be down.
	Seeds        []string
	StoreAddress string
	// FirstStart is true when the whole fleet starts for the first time.
	FirstStart bool
	// GracePeriod is the time from SIGTERM to SIGKILL.
	GracePeriod time.Duration
	// DrainDelay is how long a stopping node keeps serving before it rejects requests: by
	// then the platform's balancer has removed it.
	DrainDelay time.Duration
	// RetryRatio and RetryExtra limit the additional attempts that reach a service within
	// RetryWindow, over all nodes.
	RetryRatio  float64
	RetryWindow time.Duration
	RetryExtra  float64
	// CanaryShare and CanarySlack limit the requests to a canary version that may be bad.
	CanaryShare float64
	CanarySlack float64
}
