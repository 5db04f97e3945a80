package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// reloadInterval is how long loaded certificates are used before the files are
// read again.
const reloadInterval = 10 * time.Second

// Files names the PEM files of mutual TLS between nodes.
type Files struct {
	Certificate, Key, Authority string
}

// material is what the files gave when they were last read.
type material struct {
	certificate *tls.Certificate
	authority   *x509.CertPool
}

type reloader struct {
	files  Files
	now    func() time.Time
	mu     sync.Mutex
	loaded material
	readAt time.Time
}

// MutualTLS returns configurations for Listen and NewClient. Both sides must show
// a certificate of the authority; names are not compared, since nodes are reached
// by address. Changed files are used for new handshakes within 10 s. When they
// cannot be read, the previous certificates stay in use. The first read must succeed.
func MutualTLS(files Files) (server, client *tls.Config, err error) {
	return mutualTLS(files, time.Now)
}

func mutualTLS(files Files, now func() time.Time) (server, client *tls.Config, err error) {
	r := &reloader{files: files, now: now}
	if r.loaded, err = files.read(); err != nil {
		return nil, nil, err
	}
	r.readAt = r.now()
	server = &tls.Config{
		MinVersion: tls.VersionTLS13,
		ClientAuth: tls.RequireAndVerifyClientCert,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			current := r.current()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    current.authority,
				Certificates: []tls.Certificate{*current.certificate},
			}, nil
		},
	}
	client = &tls.Config{
		MinVersion: tls.VersionTLS13,
		// The default verification needs a host name and a fixed authority.
		// VerifyConnection checks the chain against the current authority instead.
		InsecureSkipVerify: true,
		VerifyConnection:   r.verifyServer,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return r.current().certificate, nil
		},
	}
	return server, client, nil
}

func (r *reloader) current() material {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.now().Sub(r.readAt) < reloadInterval {
		return r.loaded
	}
	r.readAt = r.now()
	if loaded, err := r.files.read(); err == nil {
		r.loaded = loaded
	}
	return r.loaded
}

func (r *reloader) verifyServer(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("peer showed no certificate")
	}
	options := x509.VerifyOptions{Roots: r.current().authority, Intermediates: x509.NewCertPool()}
	for _, intermediate := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(intermediate)
	}
	_, err := state.PeerCertificates[0].Verify(options)
	return errors.Wrap(err, "verify the peer's certificate")
}

func (f Files) read() (material, error) {
	pair, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return material{}, errors.Wrapf(err, "load certificate %s", f.Certificate)
	}
	pem, err := os.ReadFile(f.Authority)
	if err != nil {
		return material{}, errors.Wrap(err, "read authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return material{}, errors.Errorf("no certificate in %s", f.Authority)
	}
	return material{certificate: &pair, authority: pool}, nil
}
