// Package judge decides whether a new version is worse than the old one, from
// counts of both over the same periods.
//
// Each route has three sequential tests: one on failures, and two on responses slower
// than the old version's 95th percentile, of which one uses single periods and the
// other blocks of 10 periods. A test considers which version each event comes from.
// Given the requests of both versions in a period, and a new version whose event rate
// is at most Margin (over blocks SustainedMargin) times the old one's, an event comes
// from the new version with probability at most margin*new/(margin*new+old). The
// likelihood ratio of a larger rate against this bound is a test supermartingale. The
// test mixes it over several rates and over all starting periods, with weights that
// add up to 1, so it is an e-process: the probability that it ever reaches 1/alpha is
// at most alpha, however often and whenever it is read. Mixing over starting periods
// keeps the test sensitive after a long period of good behaviour: the detection delay
// grows with the logarithm of the elapsed time, while a plain cumulative ratio would
// first have to offset all the good periods.
//
// Error rate: a Judge created with alpha raises a false alarm with probability at most
// alpha over its whole life, divided evenly over routes and tests, when the events of
// one period are independent of each other. Events that come in bursts (one target
// that stalls) are not independent; the evidence of a single period is therefore
// capped, so that a single burst cannot raise an alarm. The error rates of judges on
// several nodes add up, so each must be given its part of alpha.
//
// Measured for alpha = 0.001: in runs with independent events and an overload on both
// versions, 0 of 1,000 good versions were found bad. With noisy neighbours and a crash
// (testbed/rolloutbench) it was 0 of 1,000 at 20 targets per version and 3 of 1,000
// at 8, where the noise of one target has more weight.
//
// The percentile is computed from earlier periods of the old version, which makes it
// independent of the period tested, and it follows the load: an overload that affects
// both versions raises the events of both and is no evidence.
//
// The caller must exclude the first requests of each target, which it serves cold. They
// are to be excluded by their number, not by whether the target is still cold: a target
// that fails its requests never becomes warm, and its version would never be judged.
//
// A judge is not stored. After a takeover the new controller starts with an empty one,
// so each takeover adds at most alpha to the error rate of the rollout.
package judge
