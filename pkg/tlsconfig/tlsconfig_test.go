package tlsconfig

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fireflychute/fireflychute/pkg/settings"
)

// clock is advanced by hand.
type clock struct{ now time.Time }

func (c *clock) Now() time.Time { return c.now }

type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newAuthority(g Gomega) authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	g.Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	g.Expect(err).NotTo(HaveOccurred())
	certificate, err := x509.ParseCertificate(der)
	g.Expect(err).NotTo(HaveOccurred())
	return authority{certificate, key}
}

// write stores a certificate with a serial number, its key, and the authority.
func (a authority) write(g Gomega, dir string, serial int64) settings.TLS {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	g.Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	g.Expect(err).NotTo(HaveOccurred())
	raw, err := x509.MarshalPKCS8PrivateKey(key)
	g.Expect(err).NotTo(HaveOccurred())
	files := settings.TLS{Cert: filepath.Join(dir, "cert"), Key: filepath.Join(dir, "key"), CA: filepath.Join(dir, "ca")}
	for name, block := range map[string]*pem.Block{files.Cert: {Type: "CERTIFICATE", Bytes: der}, files.Key: {Type: "PRIVATE KEY", Bytes: raw}, files.CA: {Type: "CERTIFICATE", Bytes: a.certificate.Raw}} {
		g.Expect(os.WriteFile(name, pem.EncodeToMemory(block), 0o600)).To(Succeed())
		stamp := time.Unix(serial, 0)
		g.Expect(os.Chtimes(name, stamp, stamp)).To(Succeed())
	}
	return files
}

// handshake connects two sources and returns the server's serial number.
func handshake(server, client *tls.Config) (int64, error) {
	listener, err := tls.Listen("tcp", "127.0.0.1:0", server)
	if err != nil {
		return 0, err
	}
	defer listener.Close()
	go func() {
		accepted, err := listener.Accept()
		if err == nil {
			_, _ = accepted.Write([]byte{1})
			_ = accepted.Close()
		}
	}()
	dialled, err := tls.Dial("tcp", listener.Addr().String(), client)
	if err != nil {
		return 0, err
	}
	defer dialled.Close()
	// The server refuses a client's certificate only after the client's part of
	// the handshake has ended, so one byte is awaited.
	_, err = dialled.Read(make([]byte, 1))
	if err != nil {
		return 0, err
	}
	return dialled.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
}

// Guards against certificates that need a restart, and against half-written
// files that take the listener down.
func TestReload(t *testing.T) {
	g := NewWithT(t)
	c := &clock{now: time.Now()}
	a := newAuthority(g)
	dir := t.TempDir()
	source, err := NewSource(a.write(g, dir, 10), c.Now)
	g.Expect(err).NotTo(HaveOccurred())
	server, client := source.Server(), source.Client()
	g.Expect(handshake(server, client)).To(BeEquivalentTo(10))

	files := a.write(g, dir, 20)
	c.now = c.now.Add(checkInterval)
	g.Expect(handshake(server, client)).To(BeEquivalentTo(20))

	g.Expect(os.WriteFile(files.Cert, []byte("half"), 0o600)).To(Succeed())
	c.now = c.now.Add(checkInterval)
	g.Expect(handshake(server, client)).To(BeEquivalentTo(20))
	g.Expect(source.Err()).To(MatchError(ContainSubstring(files.Cert)))

	a.write(g, dir, 30)
	c.now = c.now.Add(checkInterval)
	g.Expect(handshake(server, client)).To(BeEquivalentTo(30))
	g.Expect(source.Err()).NotTo(HaveOccurred())
}

// Guards against a side that accepts certificates of a foreign authority.
func TestUntrustedAuthority(t *testing.T) {
	g := NewWithT(t)
	own, err := NewSource(newAuthority(g).write(g, t.TempDir(), 1), nil)
	g.Expect(err).NotTo(HaveOccurred())
	untrusted, err := NewSource(newAuthority(g).write(g, t.TempDir(), 2), nil)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = handshake(untrusted.Server(), own.Client())
	g.Expect(err).To(MatchError(ContainSubstring("verify server certificate")))
	unverified := untrusted.Client()
	unverified.VerifyConnection = nil
	_, err = handshake(own.Server(), unverified)
	g.Expect(err).To(HaveOccurred(), "the server accepted a foreign client")
}

// Guards against listeners that start without TLS although files were named.
func TestForListener(t *testing.T) {
	g := NewWithT(t)
	server, _, err := ForListener(settings.TLS{})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(server).To(BeNil())
	_, _, err = ForListener(settings.TLS{Cert: "/nonexistent", Key: "/nonexistent", CA: "/nonexistent"})
	g.Expect(err).To(MatchError(ContainSubstring("/nonexistent")))
}
