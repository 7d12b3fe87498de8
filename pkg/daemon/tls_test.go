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

// authority writes a CA and one certificate for 127.0.0.1 that it signed.
func (r *rig) authority(name string) settings.TLSFiles {
	r.t.Helper()
	caKey, caCert := r.certificate(&x509.Certificate{SerialNumber: big.NewInt(1), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}, nil, nil)
	key, cert := r.certificate(&x509.Certificate{SerialNumber: big.NewInt(2), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}, caCert, caKey)
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		r.t.Fatal(err)
	}
	file := func(suffix, kind string, data []byte) string {
		return r.file(name+suffix, string(pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data})))
	}
	return settings.TLSFiles{
		Cert: file(".crt", "CERTIFICATE", cert.Raw), Key: file(".key", "PRIVATE KEY", der), CA: file(".ca", "CERTIFICATE", caCert.Raw),
	}
}

func (r *rig) certificate(template, parent *x509.Certificate, parentKey *ecdsa.PrivateKey) (*ecdsa.PrivateKey, *x509.Certificate) {
	r.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		r.t.Fatal(err)
	}
	template.NotBefore, template.NotAfter = time.Now().Add(-time.Hour), time.Now().Add(time.Hour)
	if parent == nil {
		parent, parentKey = template, key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, key.Public(), parentKey)
	if err != nil {
		r.t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		r.t.Fatal(err)
	}
	return key, cert
}

// httpsClient trusts the CA of files only.
func (r *rig) httpsClient(files settings.TLSFiles) *http.Client {
	r.t.Helper()
	cfg, err := settings.TLSFiles{CA: files.CA}.ClientConfig()
	if err != nil {
		r.t.Fatal(err)
	}
	transport := &http.Transport{TLSClientConfig: cfg}
	r.t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

// Guards against listeners that take plain connections or strangers although
// certificates are given, and against clients that trust any server.
func TestTLSEndToEnd(t *testing.T) {
	r := newRig(t, fastEngine("llm-0"))
	files, foreign := r.authority("own"), r.authority("foreign")
	pair := "cert-file = " + files.Cert + "\nkey-file = " + files.Key + "\n"
	extra := map[string]string{"callers": pair, "operators": pair, "peers": pair + "ca-file = " + files.CA + "\n"}
	r.scheme, r.client = "https://", r.httpsClient(files)
	first, second := r.start("entry-1", extra), r.start("entry-2", extra)
	first.apply()
	second.waitReady()
	r.until("both instances answer over TLS", func() bool {
		var all operator.InstancesReport
		err := second.operator().Query(t.Context(), "instances", nil, &all)
		return err == nil && len(all.Instances) == 2 && all.Instances[0].Answered && all.Instances[1].Answered
	})
	if a, err := first.call("POST", "/v1/chat/completions", chat("x", 3)); err != nil || a.status != 200 {
		t.Errorf("caller with the right CA: %+v, %v", a, err)
	}
	if a, err := first.callAt("https://", r.httpsClient(foreign), "POST", "/v1/chat/completions", chat("x", 3)); err == nil {
		t.Errorf("caller with another CA: %+v", a)
	}
	if a, err := first.callAt("http://", r.client, "POST", "/v1/chat/completions", chat("x", 3)); err == nil && a.status < 400 {
		t.Errorf("caller without TLS: %+v", a)
	}
	r.checkOperators(first, foreign)
	r.checkPeers(first, files, foreign)
}

func (r *rig) checkOperators(i *instance, foreign settings.TLSFiles) {
	r.t.Helper()
	wrong := i.operator()
	wrong.Token = settings.NewSecret([]byte("wrong"))
	if err := wrong.Query(r.t.Context(), "instances", nil, &operator.InstancesReport{}); !failure.Is(err, failure.Unauthorized) {
		r.t.Errorf("operator with a wrong token: %v", err)
	}
	wrong = i.operator()
	wrong.HTTP = r.httpsClient(foreign)
	if err := wrong.Query(r.t.Context(), "instances", nil, &operator.InstancesReport{}); !failure.Is(err, failure.Unavailable) {
		r.t.Errorf("operator with another CA: %v", err)
	}
}

func (r *rig) checkPeers(i *instance, files, foreign settings.TLSFiles) {
	r.t.Helper()
	cases := []struct {
		desc       string
		files      settings.TLSFiles
		credential string
		want       failure.Kind
	}{
		{"right files and credential", files, "peer-credential", ""},
		{"wrong credential", files, "other", failure.Unauthorized},
		{"no client certificate", settings.TLSFiles{CA: files.CA}, "peer-credential", failure.Unavailable},
		{"client certificate of another CA", settings.TLSFiles{Cert: foreign.Cert, Key: foreign.Key, CA: files.CA}, "peer-credential", failure.Unavailable},
		{"trusts another CA", settings.TLSFiles{Cert: files.Cert, Key: files.Key, CA: foreign.CA}, "peer-credential", failure.Unavailable},
		{"no TLS", settings.TLSFiles{}, "peer-credential", failure.Unavailable},
	}
	for _, c := range cases {
		cfg, err := c.files.ClientConfig()
		if err != nil {
			r.t.Fatal(err)
		}
		stranger := peer.New(peer.Identity{Instance: "stranger", Domain: "ikeja", Address: "127.0.0.1:1", Incarnation: "stranger-1"},
			peer.Options{Credential: []byte(c.credential), TLS: cfg}, nil)
		err = stranger.Call(r.t.Context(), i.self.Address, methodStatus, struct{}{}, nil)
		if failure.KindOf(err) != c.want {
			r.t.Errorf("%s: %v, want kind %q", c.desc, err, c.want)
		}
		_ = stranger.Close(r.t.Context())
	}
}
