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

// material is one state of the files.
type material struct {
	certificate tls.Certificate
	authorities *x509.CertPool
}

// Source holds the certificates of one listener and keeps them up to date.
type Source struct {
	files settings.TLS
	now   func() time.Time

	mu      sync.Mutex
	checked time.Time
	stamps  [3]stamp
	current *material
	lastErr error
}

// stamp tells whether a file changed.
type stamp struct {
	modified time.Time
	size     int64
}

// NewSource reads the files. A nil now takes time.Now. The error names the file.
func NewSource(files settings.TLS, now func() time.Time) (*Source, error) {
	if now == nil {
		now = time.Now
	}
	s := &Source{files: files, now: now, checked: now()}
	stamps, err := s.stat()
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

// get returns the newest certificates that could be read.
func (s *Source) get() *material {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if now.Sub(s.checked) >= checkInterval {
		s.checked = now
		s.lastErr = s.refresh()
	}
	return s.current
}

// refresh reads the files when one changed. The stamps are taken before the
// files are read, so that a change during the reading is seen the next time.
func (s *Source) refresh() error {
	stamps, err := s.stat()
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

func (s *Source) stat() ([3]stamp, error) {
	var stamps [3]stamp
	for i, name := range []string{s.files.Cert, s.files.Key, s.files.CA} {
		info, err := os.Stat(name)
		if err != nil {
			return stamps, errors.Wrap(err, "look at certificates")
		}
		stamps[i] = stamp{modified: info.ModTime(), size: info.Size()}
	}
	return stamps, nil
}

func (s *Source) load() (*material, error) {
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
	return &material{certificate: certificate, authorities: authorities}, nil
}
