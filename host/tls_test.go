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

// writeCertificate writes a self-signed certificate for the loopback address. It returns
// the files and a certificate pool that contains it.
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
	certDER, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	files := setting.TLS{Certificate: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem")}
	for file, block := range map[string]*pem.Block{
		files.Certificate: {Type: "CERTIFICATE", Bytes: certDER},
		files.Key:         {Type: "EC PRIVATE KEY", Bytes: keyDER},
	} {
		if err := os.WriteFile(file, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	certificate, _ := x509.ParseCertificate(certDER)
	rootCAs := x509.NewCertPool()
	rootCAs.AddCert(certificate)
	return files, rootCAs
}

// TestListenersServeTLS checks that a host with a certificate in its settings serves
// callers and operators over TLS.
func TestListenersServeTLS(t *testing.T) {
	files, rootCAs := writeCertificate(t)
	peerAddress, err := load.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	h, cleanup, err := host.Start(setting.Host{
		ID: "tls", Domain: "d", Region: "r", TLS: &files, PeerKey: load.PeerKey, Bounds: setting.DefaultBounds(),
		Listen:   setting.Listen{Callers: "127.0.0.1:0", Operators: "127.0.0.1:0", Peers: peerAddress},
		Platform: []string{"127.0.0.1:1"},
	}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	defer cleanup()
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: rootCAs}}}
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
