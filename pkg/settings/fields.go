package settings

import (
	"fmt"
	"net"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
)

// field describes one key of the file. A key without a default value is required
// unless it is optional. set parses the value and stores it in the settings.
type field struct {
	section      string
	key          string
	defaultValue string
	optional     bool
	remedy       string
	set          func(value string) error
}

// apply sets the field to value, or adds a fault if the value is missing or invalid.
func (f field) apply(value string, faults *Faults) {
	if value == "" {
		if !f.optional {
			faults.Add(f.section, f.key, f.remedy, "the key is missing or empty")
		}
		return
	}
	if err := f.set(value); err != nil {
		faults.Add(f.section, f.key, f.remedy, "%v", err)
	}
}

// fields returns all keys in the order of the manual. Reasons for the defaults: the
// store responds within milliseconds, so a call without a response for 2 s has
// failed. Watches of 20 s cost the store 17 calls/s at 340 instances. Bodies of 8 MiB
// are enough for the longest patient histories. The longest streams last minutes, so
// a graceful stop waits up to 10 minutes. Grants cover the demand of 11 minutes: a
// partition of 10 minutes and the time to detect it.
func (s *Settings) fields() []field {
	return []field{
		{"instance", "id", "", false, remedyName, setName(&s.Instance.ID)},
		{"instance", "domain", "", false, remedyName, setDomain(&s.Instance.Domain)},
		{"instance", "region", "", false, remedyName, setName(&s.Instance.Region)},
		{"listen", "callers", "", false, remedyHostPort, setHostPort(&s.Listen.Callers)},
		{"listen", "operators", "", false, remedyHostPort, setHostPort(&s.Listen.Operators)},
		{"listen", "peers", "", false, "give the host:port that other instances can connect to", setReachableHostPort(&s.Listen.Peers)},
		{"listen", "metrics", "", false, remedyHostPort, setHostPort(&s.Listen.Metrics)},
		{"platform", "address", "", false, "give a URL such as http://10.0.0.1:7000", setBaseURL(&s.Platform.Address)},
		{"platform", "timeout", "2s", false, remedyDuration, setDuration(&s.Platform.Timeout)},
		{"platform", "watch-wait", "20s", false, remedyDuration, setDuration(&s.Platform.WatchWait)},
		{"platform", "ca-file", "", true, remedyFile, setString(&s.Platform.TLS.CA)},
		{"peers", "seeds", "", true, "give host:port items separated by commas", setHostPorts(&s.Peers.Seeds)},
		{"peers", "credential-file", "", false, remedySecret, setSecret(&s.Peers.Credential)},
		{"peers", "cert-file", "", true, remedyFile, setString(&s.Peers.TLS.Cert)},
		{"peers", "key-file", "", true, remedyFile, setString(&s.Peers.TLS.Key)},
		{"peers", "ca-file", "", true, remedyFile, setString(&s.Peers.TLS.CA)},
		{"operators", "token-file", "", false, remedySecret, setSecret(&s.Operators.Token)},
		{"operators", "cert-file", "", true, remedyFile, setString(&s.Operators.TLS.Cert)},
		{"operators", "key-file", "", true, remedyFile, setString(&s.Operators.TLS.Key)},
		{"callers", "cert-file", "", true, remedyFile, setString(&s.Callers.TLS.Cert)},
		{"callers", "key-file", "", true, remedyFile, setString(&s.Callers.TLS.Key)},
		{"callers", "max-body-bytes", "8388608", false, remedyNumber, setPositive(&s.Callers.MaxBodyBytes)},
		{"callers", "queue-limit", "256", false, remedyNumber, setPositive(&s.Callers.QueueLimit)},
		{"ledger", "retention-repeatable", "10m", false, remedyDuration, setDuration(&s.Ledger.RetentionRepeatable)},
		{"ledger", "retention-non-repeatable", "24h", false, remedyDuration, setDuration(&s.Ledger.RetentionNonRepeatable)},
		{"ledger", "grant-horizon", "11m", false, remedyDuration, setDuration(&s.Ledger.GrantHorizon)},
		{"stop", "grace", "10m", false, remedyDuration, setDuration(&s.Stop.Grace)},
		{"log", "level", "info", false, "give one of error, warning, info, debug", setLogLevel(&s.Log.Level)},
		{"log", "format", "text", false, "give text or json", setChoice(&s.Log.Format, "text", "json")},
	}
}

const (
	remedyName     = "give a name of letters, digits, hyphens and underscores"
	remedyHostPort = "give an address such as 127.0.0.1:8080"
	remedyDuration = "give a positive duration such as 500ms, 2s or 10m"
	remedyNumber   = "give a positive whole number"
	remedyFile     = "give the path of a PEM file"
	remedySecret   = "give the path of a file that holds the secret and that only its owner can access (chmod 600)"
)

// sectionNames returns the names of the sections that fields mention.
func sectionNames(fields []field) []string {
	var names []string
	for _, f := range fields {
		if !slices.Contains(names, f.section) {
			names = append(names, f.section)
		}
	}
	return names
}

// keyNames returns the names of the keys of a section.
func keyNames(fields []field, section string) []string {
	var keys []string
	for _, f := range fields {
		if f.section == section {
			keys = append(keys, f.key)
		}
	}
	return keys
}

// setString returns a field.set function that stores the value in target. The other
// functions named set... do the same with values that they check or convert.
func setString(target *string) func(string) error {
	return func(v string) error { *target = v; return nil }
}

func setChecked(target *string, check func(string) error) func(string) error {
	return func(v string) error { *target = v; return check(v) }
}

func setName(target *string) func(string) error {
	return setChecked(target, func(v string) error {
		if strings.ContainsAny(v, " \t/,") {
			return fmt.Errorf("%q is not a valid name", v)
		}
		return nil
	})
}

// setDomain rejects dots in addition to the characters that setName rejects, because
// request ids use them as separators.
func setDomain(target *string) func(string) error {
	return setChecked(target, func(v string) error {
		if strings.ContainsAny(v, " \t/,.") {
			return fmt.Errorf("%q is not a valid name of a failure domain", v)
		}
		return nil
	})
}

func setHostPort(target *string) func(string) error { return setChecked(target, checkHostPort) }

func checkHostPort(v string) error {
	_, port, err := net.SplitHostPort(v)
	if err == nil {
		_, err = strconv.ParseUint(port, 10, 16)
	}
	if err != nil {
		return fmt.Errorf("%q is not host:port", v)
	}
	return nil
}

// setReachableHostPort rejects unspecified addresses such as 0.0.0.0, because other
// instances connect to the configured address.
func setReachableHostPort(target *string) func(string) error {
	return setChecked(target, func(v string) error {
		if err := checkHostPort(v); err != nil {
			return err
		}
		host, _, _ := net.SplitHostPort(v)
		if ip := net.ParseIP(host); host == "" || (ip != nil && ip.IsUnspecified()) {
			return fmt.Errorf("%q is not an address that other instances can connect to", v)
		}
		return nil
	})
}

func setBaseURL(target *string) func(string) error {
	return setChecked(target, func(v string) error {
		u, err := url.Parse(v)
		if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" || u.User != nil {
			return fmt.Errorf("%q is not an http or https URL without credentials", v)
		}
		return nil
	})
}

func setHostPorts(target *[]string) func(string) error {
	return func(v string) error {
		*target = SplitList(v)
		for _, item := range *target {
			if err := checkHostPort(item); err != nil {
				return err
			}
		}
		return nil
	}
}

func setDuration(target *time.Duration) func(string) error {
	return func(v string) (err error) {
		if *target, err = time.ParseDuration(v); err != nil || *target <= 0 {
			return fmt.Errorf("%q is not a positive duration", v)
		}
		return nil
	}
}

func setPositive[N int | int64](target *N) func(string) error {
	return func(v string) error {
		n, err := strconv.ParseInt(v, 10, 64)
		if err != nil || n <= 0 || int64(N(n)) != n {
			return fmt.Errorf("%q is not a positive whole number", v)
		}
		*target = N(n)
		return nil
	}
}

func setSecret(target *Secret) func(string) error {
	return func(v string) (err error) { *target, err = ReadSecret(v); return err }
}

func setLogLevel(target *string) func(string) error {
	return setChecked(target, func(v string) error { _, err := logrus.ParseLevel(v); return err })
}

func setChoice(target *string, choices ...string) func(string) error {
	return setChecked(target, func(v string) error {
		if !slices.Contains(choices, v) {
			return fmt.Errorf("%q is not one of %s", v, strings.Join(choices, ", "))
		}
		return nil
	})
}
