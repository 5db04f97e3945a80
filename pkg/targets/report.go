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
	maxNameBytes     = 64
)

// ErrReport is the cause of all errors of ParseReport.
var ErrReport = errors.New("invalid load report")

// ParseReport parses the value of HeaderLoad. Every known field must occur once at
// most and be valid, inflight and incarnation must be present, and unknown fields
// are ignored. The local fields of the report are not set.
func ParseReport(value string) (Report, error) {
	report := Report{}
	if len(value) > maxReportBytes {
		return report, errors.Wrapf(ErrReport, "%d bytes", len(value))
	}
	fields := strings.Split(value, ";")
	if len(fields) > maxReportFields {
		return report, errors.Wrapf(ErrReport, "%d fields", len(fields))
	}
	seen := map[string]bool{}
	for _, field := range fields {
		name, text, found := strings.Cut(strings.TrimSpace(field), "=")
		if !found || name == "" || seen[name] {
			return Report{}, errors.Wrapf(ErrReport, "field %q", field)
		}
		seen[name] = true
		if err := report.set(name, text); err != nil {
			return Report{}, errors.Wrapf(ErrReport, "field %q: %v", field, err)
		}
	}
	if !seen["inflight"] || !seen["incarnation"] {
		return Report{}, errors.Wrap(ErrReport, "inflight or incarnation is missing")
	}
	return report, nil
}

func (r *Report) set(name, text string) (err error) {
	switch name {
	case "inflight":
		r.InFlight, err = count(text)
	case "queued":
		r.Queued, err = count(text)
	case "served":
		r.Served, err = strconv.ParseUint(text, 10, 64)
	case "incarnation":
		r.Incarnation, err = token(text)
	case "version":
		r.Version, err = token(text)
	case "draining":
		r.Draining, err = bit(text)
	}
	return err
}

func count(text string) (int, error) {
	number, err := strconv.ParseUint(text, 10, 32)
	if err == nil && number > maxReportedCount {
		err = errors.New("too large")
	}
	return int(number), err
}

func bit(text string) (bool, error) {
	if text != "0" && text != "1" {
		return false, errors.New("neither 0 nor 1")
	}
	return text == "1", nil
}

// token accepts names of letters, digits and -._ only, because they are passed on
// in facts and shown to operators.
func token(text string) (string, error) {
	if text == "" || len(text) > maxNameBytes {
		return "", errors.New("bad length")
	}
	for _, r := range text {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
		if !letter && !strings.ContainsRune("-._", r) {
			return "", errors.New("bad character")
		}
	}
	return text, nil
}
