package targets

import (
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// HeaderLoad is the response header that carries a target's load report.
const HeaderLoad = "Fireflychute-Load"

// Limits of a report. They prevent a faulty target from exhausting the node's memory or
// overflowing the balancer's sums.
const (
	maxReportBytes   = 512
	maxReportFields  = 32
	maxReportedCount = 1_000_000
	maxTokenBytes    = 64
)

// ErrInvalidReport is the cause of every error returned by ParseReport.
var ErrInvalidReport = errors.New("invalid load report")

// ParseReport parses the value of HeaderLoad. The fields inflight and incarnation are required,
// unknown fields are ignored, no field may occur twice, and known fields must be valid.
// ArrivedNanos and SentBefore are not set.
func ParseReport(value string) (Report, error) {
	report := Report{}
	if len(value) > maxReportBytes {
		return report, errors.Wrapf(ErrInvalidReport, "header of %d bytes, at most %d allowed", len(value), maxReportBytes)
	}
	fields := strings.Split(value, ";")
	if len(fields) > maxReportFields {
		return report, errors.Wrapf(ErrInvalidReport, "header of %d fields, at most %d allowed", len(fields), maxReportFields)
	}
	seen := map[string]bool{}
	for _, field := range fields {
		name, text, found := strings.Cut(strings.TrimSpace(field), "=")
		if !found || name == "" || seen[name] {
			return Report{}, errors.Wrapf(ErrInvalidReport, "field %q is repeated or not of the form name=value", field)
		}
		seen[name] = true
		if err := report.setField(name, text); err != nil {
			return Report{}, errors.Wrapf(ErrInvalidReport, "parse field %q: %v", field, err)
		}
	}
	if !seen["inflight"] || !seen["incarnation"] {
		return Report{}, errors.Wrap(ErrInvalidReport, "field inflight or incarnation is missing")
	}
	return report, nil
}

func (r *Report) setField(name, text string) (err error) {
	switch name {
	case "inflight":
		r.InFlight, err = parseCount(text)
	case "queued":
		r.Queued, err = parseCount(text)
	case "served":
		r.Served, err = strconv.ParseUint(text, 10, 64)
	case "incarnation":
		r.Incarnation, err = parseToken(text)
	case "version":
		r.Version, err = parseToken(text)
	case "draining":
		r.Draining, err = parseBit(text)
	}
	return err
}

// parseCount parses a decimal number of at most maxReportedCount.
func parseCount(text string) (int, error) {
	number, err := strconv.ParseUint(text, 10, 32)
	if err == nil && number > maxReportedCount {
		err = errors.Errorf("exceeds the maximum of %d", maxReportedCount)
	}
	return int(number), err
}

func parseBit(text string) (bool, error) {
	if text != "0" && text != "1" {
		return false, errors.New("must be 0 or 1")
	}
	return text == "1", nil
}

// parseToken accepts only letters, digits and -._ because the value is forwarded in facts and
// displayed to operators.
func parseToken(text string) (string, error) {
	if text == "" || len(text) > maxTokenBytes {
		return "", errors.Errorf("must have 1 to %d bytes", maxTokenBytes)
	}
	for _, r := range text {
		alphanumeric := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
		if !alphanumeric && !strings.ContainsRune("-._", r) {
			return "", errors.New("contains a character other than letters, digits and -._")
		}
	}
	return text, nil
}
