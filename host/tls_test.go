package host_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"io"
	"log/slog"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"mulberrydyke/host"
	"mulberrydyke/load"
	"mulberrydyke/setting"
)

// writeCertificate writes a certificate for loopback and returns the files and
// a pool that trusts it.
func writeCertificate(t *testing.T) (setting.TLS, *x509.CertPool) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	raw, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	files := setting.TLS{Certificate: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem")}
	for file, block := range map[string]*pem.Block{
		files.Certificate: {Type: "CERTIFICATE", Bytes: der},
		files.Key:         {Type: "EC PRIVATE KEY", Bytes: raw},
	} {
		if err := os.WriteFile(file, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	certificate, _ := x509.ParseCertificate(der)
	trusted := x509.NewCertPool()
	trusted.AddCert(certificate)
	return files, trusted
}

// TestListenersSpeakTLS starts a host with a certificate.
func TestListenersSpeakTLS(t *testing.T) {
	files, trusted := writeCertificate(t)
	peers, err := load.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	h, cleanup, err := host.Start(setting.Host{
		ID: "tls", Domain: "d", Region: "r", TLS: &files, PeerKey: load.PeerKey, Bounds: setting.DefaultBounds(),
		Listen:   setting.Listen{Callers: "127.0.0.1:0", Operators: "127.0.0.1:0", Peers: peers},
		Platform: []string{"127.0.0.1:1"},
	}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	defer cleanup()
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: trusted}}}
	for address, want := range map[string]int{h.CallerAddress() + "/v1/models": 503, h.OperatorAddress() + "/healthz": 200} {
		response, err := client.Get("https://" + address)
		if err != nil {
			t.Errorf("%s: %v", address, err)
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode != want {
			t.Errorf("%s: status %d, want %d", address, response.StatusCode, want)
		}
	}
}
