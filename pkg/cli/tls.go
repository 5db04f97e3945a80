package cli

import (
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"

	"github.com/pkg/errors"
)

// transport returns the transport that the options ask for: nil, which is the
// default one, when no certificates are named.
func (o *Options) transport() (http.RoundTripper, error) {
	if o.CA == "" && o.Cert == "" && o.Key == "" {
		return nil, nil
	}
	config := &tls.Config{MinVersion: tls.VersionTLS13}
	if o.CA != "" {
		pem, err := os.ReadFile(o.CA)
		if err != nil {
			return nil, errors.Wrap(errUsage, "--ca: "+err.Error())
		}
		config.RootCAs = x509.NewCertPool()
		if !config.RootCAs.AppendCertsFromPEM(pem) {
			return nil, errors.Wrapf(errUsage, "--ca: %s holds no certificate", o.CA)
		}
	}
	if o.Cert != "" || o.Key != "" {
		certificate, err := tls.LoadX509KeyPair(o.Cert, o.Key)
		if err != nil {
			return nil, errors.Wrap(errUsage, "--cert and --key: "+err.Error())
		}
		config.Certificates = []tls.Certificate{certificate}
	}
	return &http.Transport{TLSClientConfig: config, ForceAttemptHTTP2: true}, nil
}
