package daemon

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/operator"
	"github.com/clementinerack/clementinerack/pkg/peer"
	"github.com/clementinerack/clementinerack/pkg/settings"
)

// writeCertificates writes the files of a new CA and of a certificate that it signed for
// 127.0.0.1, usable by servers and clients.
func (f *fixture) writeCertificates(name string) settings.TLSFiles {
	f.t.Helper()
	caKey, caCert := f.createCertificate(&x509.Certificate{SerialNumber: big.NewInt(1), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}, nil, nil)
	key, cert := f.createCertificate(&x509.Certificate{SerialNumber: big.NewInt(2), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}, caCert, caKey)
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		f.t.Fatal(err)
	}
	file := func(suffix, kind string, data []byte) string {
		return f.writeFile(name+suffix, string(pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data})))
	}
	return settings.TLSFiles{
		Cert: file(".crt", "CERTIFICATE", cert.Raw), Key: file(".key", "PRIVATE KEY", der), CA: file(".ca", "CERTIFICATE", caCert.Raw),
	}
}

// createCertificate returns a new key and its certificate, signed by parent, or
// self-signed if parent is nil.
func (f *fixture) createCertificate(template, parent *x509.Certificate, parentKey *ecdsa.PrivateKey) (*ecdsa.PrivateKey, *x509.Certificate) {
	f.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		f.t.Fatal(err)
	}
	template.NotBefore, template.NotAfter = time.Now().Add(-time.Hour), time.Now().Add(time.Hour)
	if parent == nil {
		parent, parentKey = template, key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, key.Public(), parentKey)
	if err != nil {
		f.t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		f.t.Fatal(err)
	}
	return key, cert
}

// httpsClient returns a client that trusts only the CA in files.
func (f *fixture) httpsClient(files settings.TLSFiles) *http.Client {
	f.t.Helper()
	cfg, err := settings.TLSFiles{CA: files.CA}.ClientConfig()
	if err != nil {
		f.t.Fatal(err)
	}
	transport := &http.Transport{TLSClientConfig: cfg}
	f.t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

// Guards against listeners that accept plain connections or unauthenticated peers
// although certificates are configured, and against clients that trust any server.
func TestTLSEndToEnd(t *testing.T) {
	f := newFixture(t, fastEngine("llm-0"))
	files, otherCA := f.writeCertificates("own"), f.writeCertificates("foreign")
	serverTLS := "cert-file = " + files.Cert + "\nkey-file = " + files.Key + "\n"
	extraSettings := map[string]string{"callers": serverTLS, "operators": serverTLS, "peers": serverTLS + "ca-file = " + files.CA + "\n"}
	f.scheme, f.client = "https://", f.httpsClient(files)
	first, second := f.start("entry-1", extraSettings), f.start("entry-2", extraSettings)
	first.applyAndWaitReady()
	second.waitReady()
	f.waitUntil("both instances answer over TLS", func() bool {
		var all operator.InstancesReport
		err := second.operatorClient().Query(t.Context(), "instances", nil, &all)
		return err == nil && len(all.Instances) == 2 && all.Instances[0].Answered && all.Instances[1].Answered
	})
	if resp, err := first.call("POST", "/v1/chat/completions", chatBody("x", 3)); err != nil || resp.status != 200 {
		t.Errorf("caller with the right CA: %+v, %v", resp, err)
	}
	if resp, err := first.callWith("https://", f.httpsClient(otherCA), "POST", "/v1/chat/completions", chatBody("x", 3)); err == nil {
		t.Errorf("caller with another CA: %+v", resp)
	}
	if resp, err := first.callWith("http://", f.client, "POST", "/v1/chat/completions", chatBody("x", 3)); err == nil && resp.status < 400 {
		t.Errorf("caller without TLS: %+v", resp)
	}
	f.checkOperatorTLS(first, otherCA)
	f.checkPeerTLS(first, files, otherCA)
}

// checkOperatorTLS checks that operators need the token and trust only their CA.
func (f *fixture) checkOperatorTLS(inst *instance, otherCA settings.TLSFiles) {
	f.t.Helper()
	client := inst.operatorClient()
	client.Token = settings.NewSecret([]byte("wrong"))
	if err := client.Query(f.t.Context(), "instances", nil, &operator.InstancesReport{}); !failure.Is(err, failure.Unauthorized) {
		f.t.Errorf("operator with a wrong token: %v", err)
	}
	client = inst.operatorClient()
	client.HTTP = f.httpsClient(otherCA)
	if err := client.Query(f.t.Context(), "instances", nil, &operator.InstancesReport{}); !failure.Is(err, failure.Unavailable) {
		f.t.Errorf("operator with another CA: %v", err)
	}
}

// checkPeerTLS checks which certificates and credentials the listener for peers accepts.
func (f *fixture) checkPeerTLS(inst *instance, files, otherCA settings.TLSFiles) {
	f.t.Helper()
	cases := []struct {
		desc       string
		files      settings.TLSFiles
		credential string
		want       failure.Kind
	}{
		{"right files and credential", files, "peer-credential", ""},
		{"wrong credential", files, "other", failure.Unauthorized},
		{"no client certificate", settings.TLSFiles{CA: files.CA}, "peer-credential", failure.Unavailable},
		{"client certificate of another CA", settings.TLSFiles{Cert: otherCA.Cert, Key: otherCA.Key, CA: files.CA}, "peer-credential", failure.Unavailable},
		{"trusts another CA", settings.TLSFiles{Cert: files.Cert, Key: files.Key, CA: otherCA.CA}, "peer-credential", failure.Unavailable},
		{"no TLS", settings.TLSFiles{}, "peer-credential", failure.Unavailable},
	}
	for _, c := range cases {
		cfg, err := c.files.ClientConfig()
		if err != nil {
			f.t.Fatal(err)
		}
		client := peer.New(peer.Identity{Instance: "stranger", Domain: "ikeja", Address: "127.0.0.1:1", Incarnation: "stranger-1"},
			peer.Options{Credential: []byte(c.credential), TLS: cfg}, nil)
		err = client.Call(f.t.Context(), inst.self.Address, methodStatus, struct{}{}, nil)
		if failure.KindOf(err) != c.want {
			f.t.Errorf("%s: %v, want kind %q", c.desc, err, c.want)
		}
		_ = client.Close(f.t.Context())
	}
}
