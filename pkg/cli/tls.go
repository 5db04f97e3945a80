package cli

import (
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"

	"github.com/pkg/errors"
)

// transport returns a transport with the certificates of the options, or nil for the default
// transport when none are given.
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
			return nil, errors.Wrapf(errUsage, "--ca: %s contains no PEM certificate", o.CA)
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
