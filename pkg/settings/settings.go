package settings

import (
	"os"
	"slices"
	"strings"
	"time"

	"github.com/clementinerack/clementinerack/pkg/failure"
)

// Settings are the settings of one instance.
type Settings struct {
	Instance  Instance
	Listen    Listen
	Platform  Platform
	Peers     Peers
	Operators Operators
	Callers   Callers
	Ledger    Ledger
	Stop      Stop
	Log       Log
}

// Instance names the instance.
type Instance struct {
	ID     string
	Domain string // failure domain
	Region string
}

// Listen holds the listening addresses as host:port.
type Listen struct {
	Callers   string
	Operators string
	// Peers is also the address that other instances connect to.
	Peers string
	// Metrics serves metrics, liveness and readiness.
	Metrics string
}

// Platform tells how to reach the platform.
type Platform struct {
	Address string // base URL
	Timeout time.Duration
	// WatchWait is how long the store may hold a watch open.
	WatchWait time.Duration
	TLS       TLSFiles // CA only
}

// Peers tells how to reach other instances.
type Peers struct {
	Seeds      []string // host:port
	Credential Secret
	TLS        TLSFiles
}

// Operators configures the operators' API.
type Operators struct {
	Token Secret
	TLS   TLSFiles
}

// Callers configures the callers' API.
type Callers struct {
	TLS          TLSFiles
	MaxBodyBytes int64
	QueueLimit   int // requests that may wait for an endpoint
}

// Ledger configures the retention of request records and the size of grants.
type Ledger struct {
	RetentionRepeatable    time.Duration
	RetentionNonRepeatable time.Duration
	// GrantHorizon is the demand that a grant covers, in time.
	GrantHorizon time.Duration
}

// Stop configures the graceful stop.
type Stop struct {
	Grace time.Duration // longest wait for requests in flight
}

// Log configures the log.
type Log struct {
	Level  string
	Format string // text or json
}

// Load reads the settings from an INI file. It reports all faults in one
// failure.Invalid error.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, failure.New(failure.Invalid, "give the path of a readable settings file", "settings cannot be read: %v", err)
	}
	s := &Settings{}
	var faults Faults
	s.read(ReadSections(text, &faults), &faults)
	return s, faults.Err(path)
}

// Key describes one key of the file. A key without a default is required unless
// it is optional.
type Key struct {
	Section, Name, Default string
	Optional               bool
}

// Reference returns all keys in the order of the manual.
func Reference() []Key {
	var out []Key
	for _, f := range (&Settings{}).fields() {
		out = append(out, Key{f.section, f.key, f.fallback, f.optional})
	}
	return out
}

func (s *Settings) read(sections []Section, faults *Faults) {
	fields := s.fields()
	given := map[string]string{}
	for _, sec := range sections {
		known := keysOf(fields, sec.Name)
		if len(known) == 0 {
			faults.Add(sec.Name, "", "remove it, or correct its name to one of "+strings.Join(sectionsOf(fields), ", "), "the section is unknown")
			continue
		}
		for _, key := range sec.Keys {
			if !slices.Contains(known, key) {
				faults.Add(sec.Name, key, "remove it, or correct its name to one of "+strings.Join(known, ", "), "the key is unknown")
			}
			given[sec.Name+" "+key] = sec.Values[key]
		}
	}
	for _, f := range fields {
		value := given[f.section+" "+f.key]
		if value == "" {
			value = f.fallback
		}
		f.read(value, faults)
	}
	s.checkTLS(faults)
}

func (s *Settings) checkTLS(faults *Faults) {
	for _, t := range []struct {
		section string
		files   TLSFiles
	}{{"platform", s.Platform.TLS}, {"peers", s.Peers.TLS}, {"operators", s.Operators.TLS}, {"callers", s.Callers.TLS}} {
		_, err := t.files.ServerConfig()
		if err == nil {
			_, err = t.files.ClientConfig()
		}
		if err != nil {
			faults.Add(t.section, "cert-file", "give readable PEM files that belong together", "TLS cannot be set up: %v", err)
		}
	}
}
