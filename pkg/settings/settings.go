package settings

import (
	"os"
	"slices"
	"strings"
	"time"

	"github.com/clementinerack/clementinerack/pkg/failure"
)

// Settings are the settings of one instance, with one field per section of the file.
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

// Instance identifies the instance and where it runs.
type Instance struct {
	ID     string
	Domain string // failure domain
	Region string
}

// Listen holds the addresses of the listeners as host:port.
type Listen struct {
	Callers   string
	Operators string
	// Peers is also the address that other instances connect to.
	Peers string
	// Metrics is the address that serves metrics, liveness and readiness.
	Metrics string
}

// Platform configures the client of the platform.
type Platform struct {
	Address string // base URL
	Timeout time.Duration
	// WatchWait is how long one watch asks the store to wait for a change.
	WatchWait time.Duration
	TLS       TLSFiles // CA only
}

// Peers configures connections between instances.
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
	// GrantHorizon is the time whose demand a grant covers.
	GrantHorizon time.Duration
}

// Stop configures the graceful stop.
type Stop struct {
	Grace time.Duration // maximum wait for requests in flight
}

// Log configures the log.
type Log struct {
	Level  string
	Format string // text or json
}

// Load reads the settings from an INI file. It returns one failure.Invalid error that
// lists all faults of the file.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, failure.New(failure.Invalid, "give the path of a readable settings file", "read settings: %v", err)
	}
	s := &Settings{}
	var faults Faults
	s.apply(ReadSections(text, &faults), &faults)
	return s, faults.Err(path)
}

// Key describes one key of the file. A key without a default is required unless it is
// optional.
type Key struct {
	Section, Name, Default string
	Optional               bool
}

// Reference returns the descriptions of all keys in the order of the manual.
func Reference() []Key {
	var keys []Key
	for _, f := range (&Settings{}).fields() {
		keys = append(keys, Key{f.section, f.key, f.defaultValue, f.optional})
	}
	return keys
}

// apply sets all fields from the sections of a file and adds its faults to faults.
func (s *Settings) apply(sections []Section, faults *Faults) {
	fields := s.fields()
	values := map[string]string{}
	for _, section := range sections {
		known := keyNames(fields, section.Name)
		if len(known) == 0 {
			faults.Add(section.Name, "", "remove it, or correct its name to one of "+strings.Join(sectionNames(fields), ", "), "the section is unknown")
			continue
		}
		for _, key := range section.Keys {
			if !slices.Contains(known, key) {
				faults.Add(section.Name, key, "remove it, or correct its name to one of "+strings.Join(known, ", "), "the key is unknown")
			}
			values[section.Name+" "+key] = section.Values[key]
		}
	}
	for _, f := range fields {
		value := values[f.section+" "+f.key]
		if value == "" {
			value = f.defaultValue
		}
		f.apply(value, faults)
	}
	s.checkTLS(faults)
}

// checkTLS loads the TLS files of every section and adds a fault for each failure.
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
			faults.Add(t.section, "cert-file", "give readable PEM files that belong together", "load TLS files: %v", err)
		}
	}
}
