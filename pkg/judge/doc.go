// Package judge decides whether a new version is worse than the old one, from
// counts of both over the same periods.
//
// Each route has three tests: one on failures, and two on answers slower than the
// old version's 95th percentile, of which one takes single periods and the other
// blocks of 10 periods. A test looks at the source of each event. Given the
// requests of both versions in a period, and a new version whose event rate is at
// most Margin (over blocks SustainedMargin) times the old one's, an event comes from the new version with
// probability at most margin*new/(margin*new+old). The likelihood ratio of a
// larger rate against this bound is a test supermartingale. The test mixes it
// over several rates and over all starting periods, with weights that add up to
// 1, so it is an e-process: the probability that it ever reaches 1/alpha is at
// most alpha, however often and whenever it is read. Mixing over starting
// periods keeps the test sensitive after long good behaviour: the delay grows
// with the logarithm of the time passed, while a plain cumulative ratio would
// first have to make up for all the good periods.
//
// Error rate: a Judge made with alpha raises a false alarm with probability at
// most alpha over its whole life, divided evenly over routes and tests, when
// events of one period are independent of each other. Events that come in bursts
// (one target that stalls) are not independent; the evidence of a single period
// is therefore capped, so that no single burst decides. Judges on several nodes
// add up: each is to be given its part of alpha.
//
// Measured for alpha = 0.001: in runs with independent events and an overload on
// both versions, 0 of 1,000 good versions were blamed. With noisy neighbours and
// a crash (testbed/rolloutbench) it was 0 of 1,000 at 20 targets a version and 3
// of 1,000 at 8, where one target's noise weighs more.
//
// The percentile is taken from earlier periods of the old version, which makes
// it independent of the period tested, and it follows the load: an overload that
// hits both versions raises the events of both and is no evidence.
//
// The caller leaves out the first requests of each target, which it serves cold.
// They are to be left out by their number, not by whether the target is still
// cold: a target that fails its requests never becomes warm, and its version
// would never be judged.
//
// A judge is not stored. After a takeover the new controller begins with an empty
// one, so each takeover adds at most alpha to the error rate of the rollout.
package judge
