package peer

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fireflychute/fireflychute/pkg/settings"
	"github.com/fireflychute/fireflychute/pkg/tlsconfig"
)

// reloadWait is longer than certificates are used before the files are looked at again.
const reloadWait = 10 * time.Second

// Guards against peers that show no certificate or one of another authority, and
// against a node that must be restarted to use renewed certificates.
func TestMutualTLSRejectsOtherAuthoritiesAndReloads(t *testing.T) {
	g := NewWithT(t)
	files, other := writeSelfSigned(t), writeSelfSigned(t)
	clockNanos := atomic.Int64{}
	now := func() time.Time { return time.Unix(0, clockNanos.Load()) }
	own, err := tlsconfig.NewSource(files, now)
	g.Expect(err).NotTo(HaveOccurred())
	foreign, err := tlsconfig.NewSource(other, now)
	g.Expect(err).NotTo(HaveOccurred())
	serverTLS, clientTLS, otherTLS := own.Server(), own.Client(), foreign.Client()
	server, err := Listen("127.0.0.1:0", serverTLS, replyWithRevision)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = server.Close() }()

	g.Expect(callOnce(server, clientTLS)).To(Succeed())
	g.Expect(callOnce(server, nil)).NotTo(Succeed(), "plain text")
	g.Expect(callOnce(server, &tls.Config{InsecureSkipVerify: true})).NotTo(Succeed(), "no certificate")
	g.Expect(callOnce(server, otherTLS)).NotTo(Succeed(), "other authority")
	skipsVerification := &tls.Config{InsecureSkipVerify: true, GetClientCertificate: otherTLS.GetClientCertificate}
	g.Expect(callOnce(server, skipsVerification)).NotTo(Succeed(), "other authority, server not checked")

	trustsOtherAuthority := &tls.Config{
		InsecureSkipVerify: true, VerifyConnection: otherTLS.VerifyConnection, GetClientCertificate: clientTLS.GetClientCertificate,
	}
	g.Expect(callOnce(server, trustsOtherAuthority)).NotTo(Succeed(), "server of another authority")

	copyFiles(t, other, files)
	g.Expect(callOnce(server, otherTLS)).NotTo(Succeed(), "not yet reloaded")
	clockNanos.Store(int64(reloadWait))
	g.Expect(callOnce(server, otherTLS)).To(Succeed(), "reloaded server")
	g.Expect(callOnce(server, clientTLS)).To(Succeed(), "reloaded client")
	g.Expect(os.Remove(files.Key)).To(Succeed())
	clockNanos.Store(int64(2 * reloadWait))
	g.Expect(callOnce(server, clientTLS)).To(Succeed(), "unreadable files keep the previous ones")
}

func callOnce(server *Server, config *tls.Config) error {
	client := NewClient("a", config)
	defer client.Close()
	_, err := client.Call(context.Background(), server.Address(), fetchMessage(1))
	return err
}

// writeSelfSigned writes a certificate that is its own authority.
func writeSelfSigned(t *testing.T) settings.TLS {
	g := NewWithT(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	g.Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	g.Expect(err).NotTo(HaveOccurred())
	encodedKey, err := x509.MarshalPKCS8PrivateKey(key)
	g.Expect(err).NotTo(HaveOccurred())
	directory := t.TempDir()
	files := settings.TLS{
		Cert: filepath.Join(directory, "cert"), Key: filepath.Join(directory, "key"), CA: filepath.Join(directory, "authority"),
	}
	writePEM(t, files.Cert, "CERTIFICATE", certificate)
	writePEM(t, files.CA, "CERTIFICATE", certificate)
	writePEM(t, files.Key, "PRIVATE KEY", encodedKey)
	return files
}

func writePEM(t *testing.T, path, kind string, content []byte) {
	encoded := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: content})
	NewWithT(t).Expect(os.WriteFile(path, encoded, 0o600)).To(Succeed())
}

func copyFiles(t *testing.T, from, to settings.TLS) {
	g := NewWithT(t)
	for source, target := range map[string]string{from.Cert: to.Cert, from.Key: to.Key, from.CA: to.CA} {
		content, err := os.ReadFile(source)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(os.WriteFile(target, content, 0o600)).To(Succeed())
	}
}
