package tlsconfig

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/fireflychute/fireflychute/pkg/settings"
)

// checkInterval is the shortest time between two checks of the files for changes. Certificates are
// replaced days before they expire, so a delay of a few seconds does not matter.
const checkInterval = 5 * time.Second

// keyMaterial holds the parsed content of the three files.
type keyMaterial struct {
	certificate tls.Certificate
	authorities *x509.CertPool
}

// Source provides the certificates of one listener and reloads them when the files change. It is
// safe for concurrent use.
type Source struct {
	files settings.TLS
	now   func() time.Time

	mu        sync.Mutex
	checkedAt time.Time
	stamps    [3]fileStamp
	current   *keyMaterial
	lastErr   error
}

// fileStamp identifies a version of a file, for the detection of changes.
type fileStamp struct {
	modified time.Time
	size     int64
}

// NewSource loads the files. A nil now means time.Now. Errors name the file.
func NewSource(files settings.TLS, now func() time.Time) (*Source, error) {
	if now == nil {
		now = time.Now
	}
	s := &Source{files: files, now: now, checkedAt: now()}
	stamps, err := s.statFiles()
	if err != nil {
		return nil, err
	}
	s.current, err = s.load()
	if err != nil {
		return nil, err
	}
	s.stamps = stamps
	return s, nil
}

// Err returns the error of the last check or reload, or nil if the certificates in use are those of
// the files as of the last check.
func (s *Source) Err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastErr
}

// currentMaterial returns the last certificates that were loaded successfully, after a reload if a
// check is due.
func (s *Source) currentMaterial() *keyMaterial {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if now.Sub(s.checkedAt) >= checkInterval {
		s.checkedAt = now
		s.lastErr = s.reloadIfChanged()
	}
	return s.current
}

// reloadIfChanged loads the files when one has changed or the last reload failed. The stamps are
// taken before the files are read, so that a change during the read is detected by the next check.
func (s *Source) reloadIfChanged() error {
	stamps, err := s.statFiles()
	if err != nil {
		return err
	}
	if stamps == s.stamps && s.lastErr == nil {
		return nil
	}
	next, err := s.load()
	if err != nil {
		return err
	}
	s.current = next
	s.stamps = stamps
	return nil
}

func (s *Source) statFiles() ([3]fileStamp, error) {
	var stamps [3]fileStamp
	for i, name := range []string{s.files.Cert, s.files.Key, s.files.CA} {
		info, err := os.Stat(name)
		if err != nil {
			return stamps, errors.Wrap(err, "stat certificate file")
		}
		stamps[i] = fileStamp{modified: info.ModTime(), size: info.Size()}
	}
	return stamps, nil
}

func (s *Source) load() (*keyMaterial, error) {
	certificate, err := tls.LoadX509KeyPair(s.files.Cert, s.files.Key)
	if err != nil {
		return nil, errors.Wrapf(err, "load certificate %s with key %s", s.files.Cert, s.files.Key)
	}
	pem, err := os.ReadFile(s.files.CA)
	if err != nil {
		return nil, errors.Wrap(err, "read certificate authorities")
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(pem) {
		return nil, errors.Errorf("parse certificate authorities %s: no valid PEM certificate found", s.files.CA)
	}
	return &keyMaterial{certificate: certificate, authorities: authorities}, nil
}
