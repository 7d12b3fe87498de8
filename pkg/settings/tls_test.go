package settings

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// selfSigned writes a certificate for the name "peer" that is its own CA.
func selfSigned(t *testing.T) TLSFiles {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), DNSNames: []string{"peer"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour)}
	cert, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		t.Fatal(err)
	}
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	write := func(name, kind string, data []byte) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data}), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	certPath := write("cert.pem", "CERTIFICATE", cert)
	return TLSFiles{Cert: certPath, Key: write("key.pem", "PRIVATE KEY", der), CA: certPath}
}

// Guards against a listener that accepts peers without a certificate, and
// against files that do not work together.
func TestTLSHandshake(t *testing.T) {
	files := selfSigned(t)
	cases := []struct {
		desc   string
		client TLSFiles
		want   bool
	}{
		{"certificate of the CA", files, true},
		{"no certificate", TLSFiles{CA: files.CA}, false},
		{"other CA", selfSigned(t), false},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			server, err := files.ServerConfig()
			if err != nil {
				t.Fatal(err)
			}
			client, err := c.client.ClientConfig()
			if err != nil {
				t.Fatal(err)
			}
			client.ServerName = "peer"
			listener, err := tls.Listen("tcp", "127.0.0.1:0", server)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = listener.Close() }()
			go func() {
				if conn, err := tls.Dial("tcp", listener.Addr().String(), client); err == nil {
					_, _ = conn.Read(make([]byte, 1)) // until the server has closed
					_ = conn.Close()
				}
			}()
			conn, err := listener.Accept()
			if err != nil {
				t.Fatal(err)
			}
			if err := conn.(*tls.Conn).HandshakeContext(t.Context()); (err == nil) != c.want {
				t.Errorf("handshake: %v", err)
			}
			_ = conn.Close()
		})
	}
}
