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

// checkInterval is how often the files are looked at, at most. A certificate is
// replaced days before it expires, so that a few seconds do not matter.
const checkInterval = 5 * time.Second

// keyMaterial is one state of the files.
type keyMaterial struct {
	certificate tls.Certificate
	authorities *x509.CertPool
}

// Source holds the certificates of one listener and keeps them up to date.
type Source struct {
	files settings.TLS
	now   func() time.Time

	mu        sync.Mutex
	checkedAt time.Time
	stamps    [3]fileStamp
	current   *keyMaterial
	lastErr   error
}

// fileStamp tells whether a file changed.
type fileStamp struct {
	modified time.Time
	size     int64
}

// NewSource reads the files. A nil now takes time.Now. The error names the file.
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

// Err returns why changed files are not in use; nil when the files' present
// content is in use as far as it was looked at.
func (s *Source) Err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastErr
}

// currentMaterial returns the newest certificates that could be read.
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

// reloadIfChanged reads the files when one changed. The stamps are taken before the
// files are read, so that a change during the reading is seen the next time.
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
			return stamps, errors.Wrap(err, "look at certificates")
		}
		stamps[i] = fileStamp{modified: info.ModTime(), size: info.Size()}
	}
	return stamps, nil
}

func (s *Source) load() (*keyMaterial, error) {
	certificate, err := tls.LoadX509KeyPair(s.files.Cert, s.files.Key)
	if err != nil {
		return nil, errors.Wrapf(err, "certificate %s with key %s", s.files.Cert, s.files.Key)
	}
	pem, err := os.ReadFile(s.files.CA)
	if err != nil {
		return nil, errors.Wrap(err, "read authorities")
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(pem) {
		return nil, errors.Errorf("authorities %s: no certificate found", s.files.CA)
	}
	return &keyMaterial{certificate: certificate, authorities: authorities}, nil
}
