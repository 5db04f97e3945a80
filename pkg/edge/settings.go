package edge

import "time"

// Settings are what a node on the platform is started with.
type Settings struct {
	Node       string
	DataCentre string
	// Regions has the region of each data centre.
	Regions     map[string]string
	MemoryBytes int64
	// Cores is the node's part of a core, LinkMbps the bandwidth of its link.
	Cores        float64
	LinkMbps     float64
	CallerListen string
	ReadyListen  string
	// PeerListen is the address for other nodes.
	PeerListen    string
	MetricsListen string
	// Seeds are peer addresses of at most three nodes, which may be down.
	Seeds        []string
	StoreAddress string
	// FirstStart tells that the whole fleet starts for the first time.
	FirstStart bool
	// GracePeriod is the time from SIGTERM to SIGKILL.
	GracePeriod time.Duration
	// DrainDelay is how long a stopping node serves on before it refuses: by then the
	// platform's balancer has taken it out.
	DrainDelay time.Duration
	// RetryRatio and RetryExtra bound the additional arrivals at a service within
	// RetryWindow, over all nodes.
	RetryRatio  float64
	RetryWindow time.Duration
	RetryExtra  float64
	// CanaryShare and CanarySlack bound the requests of a version that may be bad.
	CanaryShare float64
	CanarySlack float64
}
