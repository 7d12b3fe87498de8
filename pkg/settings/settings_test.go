package settings

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/clementinerack/clementinerack/pkg/failure"
)

const validFile = `
[instance]
id = entry-1
domain = ikeja
region = ng-sw
[listen]
callers = 127.0.0.1:8080
operators = 127.0.0.1:8081
peers = 127.0.0.1:8082 ; reached by the others
metrics = 127.0.0.1:8083
[platform]
address = http://127.0.0.1:7000
[peers]
seeds = 127.0.0.1:9082, 127.0.0.1:9182
credential-file = SECRET
[operators]
token-file = SECRET
`

// loadContent loads content as a settings file. The word SECRET in it is replaced by
// the path of a file with the given secret and mode.
func loadContent(t *testing.T, content string, mode os.FileMode, secret string) (*Settings, error) {
	dir := t.TempDir()
	secretPath := filepath.Join(dir, "secret")
	if err := os.WriteFile(secretPath, []byte(secret), mode); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, "daemon.ini")
	if err := os.WriteFile(path, []byte(strings.ReplaceAll(content, "SECRET", secretPath)), 0o600); err != nil {
		t.Fatal(err)
	}
	return Load(path)
}

// Guards against defaults that differ from the documented ones.
func TestLoadDefaults(t *testing.T) {
	s, err := loadContent(t, validFile, 0o600, "hunter2\n")
	if err != nil {
		t.Fatal(err)
	}
	if s.Listen.Peers != "127.0.0.1:8082" || len(s.Peers.Seeds) != 2 || s.Platform.Timeout != 2*time.Second ||
		s.Ledger.RetentionRepeatable != 10*time.Minute || s.Ledger.RetentionNonRepeatable != 24*time.Hour {
		t.Errorf("settings: %+v", s)
	}
	if !s.Operators.Token.Equal([]byte("hunter2")) || s.Operators.Token.Equal(nil) || (Secret{}).Equal(nil) {
		t.Error("the token does not equal exactly the trimmed content of its file")
	}
}

// Guards against secrets that appear in logs, errors or encoded settings.
func TestSecretIsNotPrinted(t *testing.T) {
	s, err := loadContent(t, validFile, 0o600, "hunter2")
	if err != nil {
		t.Fatal(err)
	}
	dump, _ := json.Marshal(s)
	for _, output := range []string{string(dump), fmt.Sprintf("%v %+v %#v %s %x %q", s, *s, s, s.Peers.Credential, s.Peers.Credential, s.Peers.Credential)} {
		if strings.Contains(output, "hunter2") || strings.Contains(output, fmt.Sprintf("%x", "hunter2")) {
			t.Errorf("the secret is printed: %s", output)
		}
	}
}

// Guards against a fault that is ignored or that hides other faults of the file.
func TestLoadReportsEveryFault(t *testing.T) {
	cases := []struct {
		desc   string
		edit   *strings.Replacer
		mode   os.FileMode
		secret string
		want   []string
	}{
		{"several invalid values", strings.NewReplacer("ikeja", "ike.ja", "127.0.0.1:8080", "8080", "http://127", "ftp://127"), 0o600, "s",
			[]string{"3 faults", "[instance] domain", "[listen] callers", "[platform] address", "give an address such as"}},
		{"missing keys", strings.NewReplacer("id = entry-1", "", "token-file = SECRET", ""), 0o600, "s",
			[]string{"2 faults", "[instance] id: the key is missing", "[operators] token-file"}},
		{"unknown key and section", strings.NewReplacer("id = ", "idd = ", "[platform]", "[plattform]"), 0o600, "s",
			[]string{"[instance] idd: the key is unknown", "one of id, domain, region", "[plattform]: the section is unknown", "[platform] address: the key is missing"}},
		{"key given twice", strings.NewReplacer("id = entry-1", "id = entry-1\nid = entry-2"), 0o600, "s", []string{"more than once"}},
		{"key outside of sections", strings.NewReplacer("\n[instance]", "stray = 1\n[instance]"), 0o600, "s", []string{"stray", "outside of any section"}},
		{"unreachable peers address", strings.NewReplacer("127.0.0.1:8082", "0.0.0.0:8082"), 0o600, "s", []string{"[listen] peers"}},
		{"certificate without key", strings.NewReplacer("[operators]", "[operators]\ncert-file = x.pem"), 0o600, "s", []string{"given together"}},
		{"secret readable by the group", strings.NewReplacer(), 0o640, "s", []string{"2 faults", "credential-file", "token-file", "chmod 600"}},
		{"empty secret", strings.NewReplacer(), 0o600, " \n", []string{"is empty"}},
		{"not INI", strings.NewReplacer("id = entry-1", "id"), 0o600, "s", []string{"not INI"}},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			_, err := loadContent(t, c.edit.Replace(validFile), c.mode, c.secret)
			if !failure.Is(err, failure.Invalid) {
				t.Fatalf("Load: %v", err)
			}
			for _, w := range c.want {
				if !strings.Contains(err.Error(), w) {
					t.Errorf("%q is missing in: %v", w, err)
				}
			}
		})
	}
}
