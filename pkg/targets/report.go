package targets

import (
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// HeaderLoad is the response header that carries a target's load report.
const HeaderLoad = "Fireflychute-Load"

// Bounds of a report. They keep a faulty target from filling the node's memory or
// the sums that the balancer forms.
const (
	maxReportBytes   = 512
	maxReportFields  = 32
	maxReportedCount = 1_000_000
	maxTokenBytes    = 64
)

// ErrInvalidReport is the cause of all errors of ParseReport.
var ErrInvalidReport = errors.New("invalid load report")

// ParseReport parses the value of HeaderLoad. Every known field must occur once at
// most and be valid, inflight and incarnation must be present, and unknown fields
// are ignored. The local fields of the report are not set.
func ParseReport(value string) (Report, error) {
	report := Report{}
	if len(value) > maxReportBytes {
		return report, errors.Wrapf(ErrInvalidReport, "%d bytes", len(value))
	}
	fields := strings.Split(value, ";")
	if len(fields) > maxReportFields {
		return report, errors.Wrapf(ErrInvalidReport, "%d fields", len(fields))
	}
	seen := map[string]bool{}
	for _, field := range fields {
		name, text, found := strings.Cut(strings.TrimSpace(field), "=")
		if !found || name == "" || seen[name] {
			return Report{}, errors.Wrapf(ErrInvalidReport, "field %q", field)
		}
		seen[name] = true
		if err := report.setField(name, text); err != nil {
			return Report{}, errors.Wrapf(ErrInvalidReport, "field %q: %v", field, err)
		}
	}
	if !seen["inflight"] || !seen["incarnation"] {
		return Report{}, errors.Wrap(ErrInvalidReport, "inflight or incarnation is missing")
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

func parseCount(text string) (int, error) {
	number, err := strconv.ParseUint(text, 10, 32)
	if err == nil && number > maxReportedCount {
		err = errors.New("too large")
	}
	return int(number), err
}

func parseBit(text string) (bool, error) {
	if text != "0" && text != "1" {
		return false, errors.New("neither 0 nor 1")
	}
	return text == "1", nil
}

// parseToken accepts names of letters, digits and -._ only, because they are passed on
// in facts and shown to operators.
func parseToken(text string) (string, error) {
	if text == "" || len(text) > maxTokenBytes {
		return "", errors.New("bad length")
	}
	for _, r := range text {
		alphanumeric := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
		if !alphanumeric && !strings.ContainsRune("-._", r) {
			return "", errors.New("bad character")
		}
	}
	return text, nil
}
