package tlsconfig

import (
	"crypto/tls"
	"crypto/x509"

	"github.com/pkg/errors"

	"github.com/fireflychute/fireflychute/pkg/settings"
)

// ForListener returns the configuration for one listener and for the connections
// that its peers open, or nil for both when no certificates are set.
func ForListener(files settings.TLS) (server, client *tls.Config, err error) {
	if files == (settings.TLS{}) {
		return nil, nil, nil
	}
	source, err := NewSource(files, nil)
	if err != nil {
		return nil, nil, err
	}
	return source.Server(), source.Client(), nil
}

// Server returns a configuration that demands a certificate of the authorities
// from the other side. Each handshake uses the newest certificates; session
// tickets are off, so that a resumed session cannot outlive an authority.
func (s *Source) Server() *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		SessionTicketsDisabled: true,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			current := s.currentMaterial()
			return &tls.Config{
				MinVersion:             tls.VersionTLS13,
				SessionTicketsDisabled: true,
				Certificates:           []tls.Certificate{current.certificate},
				ClientAuth:             tls.RequireAndVerifyClientCert,
				ClientCAs:              current.authorities,
				NextProtos:             []string{"h2", "http/1.1"},
			}, nil
		},
	}
}

// Client returns a configuration that presents the certificate and accepts only
// servers with a certificate of the authorities. A name that was dialled is
// compared with the certificate; an IP address is not, because the connection's
// state does not carry it. The authorities must therefore certify nodes only.
func (s *Source) Client() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &s.currentMaterial().certificate, nil
		},
		// The authorities may change, so verification does not use the fixed
		// RootCAs; VerifyConnection does the same with the newest ones.
		InsecureSkipVerify: true,
		VerifyConnection:   s.verifyServer,
	}
}

func (s *Source) verifyServer(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("server presented no certificate")
	}
	options := x509.VerifyOptions{
		Roots: s.currentMaterial().authorities, DNSName: state.ServerName, Intermediates: x509.NewCertPool(), CurrentTime: s.now(),
	}
	for _, certificate := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(options)
	return errors.Wrap(err, "verify server certificate")
}
