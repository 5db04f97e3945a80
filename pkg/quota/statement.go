package quota

// StatementKind is what a response says about a limit.
type StatementKind int

// Kinds of statements. The zero value is a response that names no limit.
const (
	NoLimit StatementKind = iota
	// Named responses name a limit that can be read.
	Named
	// Malformed responses name something that is not a limit. They neither start nor end one.
	Malformed
)

// MaxRate is the highest rate that is told apart, in requests per second. A higher one counts as
// MaxRate.
const MaxRate = 1e6

// Statement is what one response of a target says about the requests per second that the target
// accepts from all nodes together.
type Statement struct {
	Kind StatementKind
	// Rate is from 0 to MaxRate, valid if Kind is Named.
	Rate float64
	// Text is the beginning of what a Malformed response names.
	Text string
}
