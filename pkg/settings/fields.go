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

// field is one key of the file. An empty fallback makes the key required unless
// optional is set.
type field struct {
	section  string
	key      string
	fallback string
	optional bool
	remedy   string
	set      func(value string) error
}

func (f field) read(value string, faults *Faults) {
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

// fields lists all keys. Defaults: the store answers in milliseconds, so 2 s
// means that it is silent; a watch of 20 s costs the store 17 calls/s at 340
// instances; bodies of 8 MiB hold the longest patient histories; the longest
// streams last minutes, so a graceful stop waits for 10. Grants cover 11 minutes
// of demand, which is a partition of 10 minutes and the time to notice it.
func (s *Settings) fields() []field {
	return []field{
		{"instance", "id", "", false, remedyName, name(&s.Instance.ID)},
		{"instance", "domain", "", false, remedyName, domainName(&s.Instance.Domain)},
		{"instance", "region", "", false, remedyName, name(&s.Instance.Region)},
		{"listen", "callers", "", false, remedyHostPort, hostPort(&s.Listen.Callers)},
		{"listen", "operators", "", false, remedyHostPort, hostPort(&s.Listen.Operators)},
		{"listen", "peers", "", false, "give the host:port that other instances can connect to", reachable(&s.Listen.Peers)},
		{"listen", "metrics", "", false, remedyHostPort, hostPort(&s.Listen.Metrics)},
		{"platform", "address", "", false, "give a URL such as http://10.0.0.1:7000", baseURL(&s.Platform.Address)},
		{"platform", "timeout", "2s", false, remedyDuration, duration(&s.Platform.Timeout)},
		{"platform", "watch-wait", "20s", false, remedyDuration, duration(&s.Platform.WatchWait)},
		{"platform", "ca-file", "", true, remedyFile, text(&s.Platform.TLS.CA)},
		{"peers", "seeds", "", true, "give host:port items separated by commas", seeds(&s.Peers.Seeds)},
		{"peers", "credential-file", "", false, remedySecret, secret(&s.Peers.Credential)},
		{"peers", "cert-file", "", true, remedyFile, text(&s.Peers.TLS.Cert)},
		{"peers", "key-file", "", true, remedyFile, text(&s.Peers.TLS.Key)},
		{"peers", "ca-file", "", true, remedyFile, text(&s.Peers.TLS.CA)},
		{"operators", "token-file", "", false, remedySecret, secret(&s.Operators.Token)},
		{"operators", "cert-file", "", true, remedyFile, text(&s.Operators.TLS.Cert)},
		{"operators", "key-file", "", true, remedyFile, text(&s.Operators.TLS.Key)},
		{"callers", "cert-file", "", true, remedyFile, text(&s.Callers.TLS.Cert)},
		{"callers", "key-file", "", true, remedyFile, text(&s.Callers.TLS.Key)},
		{"callers", "max-body-bytes", "8388608", false, remedyNumber, positive(&s.Callers.MaxBodyBytes)},
		{"callers", "queue-limit", "256", false, remedyNumber, positive(&s.Callers.QueueLimit)},
		{"ledger", "retention-repeatable", "10m", false, remedyDuration, duration(&s.Ledger.RetentionRepeatable)},
		{"ledger", "retention-non-repeatable", "24h", false, remedyDuration, duration(&s.Ledger.RetentionNonRepeatable)},
		{"ledger", "grant-horizon", "11m", false, remedyDuration, duration(&s.Ledger.GrantHorizon)},
		{"stop", "grace", "10m", false, remedyDuration, duration(&s.Stop.Grace)},
		{"log", "level", "info", false, "give one of error, warning, info, debug", level(&s.Log.Level)},
		{"log", "format", "text", false, "give text or json", oneOf(&s.Log.Format, "text", "json")},
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

func sectionsOf(fields []field) []string {
	var out []string
	for _, f := range fields {
		if !slices.Contains(out, f.section) {
			out = append(out, f.section)
		}
	}
	return out
}

func keysOf(fields []field, section string) []string {
	var out []string
	for _, f := range fields {
		if f.section == section {
			out = append(out, f.key)
		}
	}
	return out
}

func text(to *string) func(string) error {
	return func(v string) error { *to = v; return nil }
}

func checked(to *string, check func(string) error) func(string) error {
	return func(v string) error { *to = v; return check(v) }
}

func name(to *string) func(string) error {
	return checked(to, func(v string) error {
		if strings.ContainsAny(v, " \t/,") {
			return fmt.Errorf("%q is not a name", v)
		}
		return nil
	})
}

// domainName also refuses dots, because request ids use them as separators.
func domainName(to *string) func(string) error {
	return checked(to, func(v string) error {
		if strings.ContainsAny(v, " \t/,.") {
			return fmt.Errorf("%q is not the name of a failure domain", v)
		}
		return nil
	})
}

func hostPort(to *string) func(string) error { return checked(to, checkHostPort) }

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

func reachable(to *string) func(string) error {
	return checked(to, func(v string) error {
		if err := checkHostPort(v); err != nil {
			return err
		}
		host, _, _ := net.SplitHostPort(v)
		if ip := net.ParseIP(host); host == "" || (ip != nil && ip.IsUnspecified()) {
			return fmt.Errorf("%q names no address that others can connect to", v)
		}
		return nil
	})
}

func baseURL(to *string) func(string) error {
	return checked(to, func(v string) error {
		u, err := url.Parse(v)
		if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" || u.User != nil {
			return fmt.Errorf("%q is not an http or https URL without credentials", v)
		}
		return nil
	})
}

func seeds(to *[]string) func(string) error {
	return func(v string) error {
		*to = SplitList(v)
		for _, item := range *to {
			if err := checkHostPort(item); err != nil {
				return err
			}
		}
		return nil
	}
}

func duration(to *time.Duration) func(string) error {
	return func(v string) (err error) {
		if *to, err = time.ParseDuration(v); err != nil || *to <= 0 {
			return fmt.Errorf("%q is not a positive duration", v)
		}
		return nil
	}
}

func positive[N int | int64](to *N) func(string) error {
	return func(v string) error {
		n, err := strconv.ParseInt(v, 10, 64)
		if err != nil || n <= 0 || int64(N(n)) != n {
			return fmt.Errorf("%q is not a positive whole number", v)
		}
		*to = N(n)
		return nil
	}
}

func secret(to *Secret) func(string) error {
	return func(v string) (err error) { *to, err = ReadSecret(v); return err }
}

func level(to *string) func(string) error {
	return checked(to, func(v string) error { _, err := logrus.ParseLevel(v); return err })
}

func oneOf(to *string, choices ...string) func(string) error {
	return checked(to, func(v string) error {
		if !slices.Contains(choices, v) {
			return fmt.Errorf("%q is not a valid choice", v)
		}
		return nil
	})
}
