package configcheck

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strconv"
	"strings"

	"github.com/clementinerack/clementinerack/pkg/catalog"
	"github.com/clementinerack/clementinerack/pkg/declare"
	"github.com/clementinerack/clementinerack/pkg/tokens"
)

// CatalogChanges returns the steps from the version in force to a document. inForce may be
// nil.
func CatalogChanges(inForce, d *catalog.Document) []declare.Step {
	from := map[string]declare.ObjectValues{}
	if inForce != nil {
		from = catalogObjects(inForce)
	}
	return declare.CompareObjects(from, catalogObjects(d))
}

// catalogObjects returns the values of all entries of a document by their name.
func catalogObjects(d *catalog.Document) map[string]declare.ObjectValues {
	objects := map[string]declare.ObjectValues{
		"configuration": {"version": strconv.FormatUint(d.Version, 10)},
		"limits": {"header-bytes": strconv.FormatInt(d.Limits.HeaderBytes, 10), "body-bytes": strconv.FormatInt(d.Limits.BodyBytes, 10),
			"header-timeout": d.Limits.HeaderTimeout.String(), "idle-timeout": d.Limits.IdleTimeout.String()},
	}
	for _, r := range d.Routes {
		objects["route "+r.Name] = declare.ObjectValues{"host": r.Host, "prefix": r.Prefix, "kind": r.Kind.String(), "timeout": r.Timeout.String(),
			"objective": r.Objective.String(), "priority": strconv.Itoa(r.Priority), "services": formatTargets(r.Targets), "max-attempts": strconv.Itoa(r.MaxAttempts),
			"public": strconv.FormatBool(r.Public), "affinity": strconv.FormatBool(r.Affinity), "resumable": strconv.FormatBool(r.Resumable),
			"regions": strings.Join(r.Regions, ", ")}
	}
	for _, s := range d.Services {
		values := declare.ObjectValues{"health-path": s.HealthPath, "max-connections": strconv.Itoa(s.MaxConnections),
			"cold-start": s.ColdStart.String(), "cold-per-second": strconv.FormatFloat(s.ColdPerSecond, 'g', -1, 64)}
		if e := s.Engine; e != nil {
			values["slots"], values["cache-tokens"], values["tokens-per-event"] = strconv.Itoa(e.Slots), formatTokens(&e.CacheTokens), formatTokens(&e.TokensPerEvent)
		}
		objects["service "+s.Name] = values
	}
	for _, w := range d.Workspaces {
		values := declare.ObjectValues{"keys-sha256": hashKeys(w.Keys), "prepaid": formatTokens(w.Prepaid), "regions": strings.Join(w.Regions, ", ")}
		if w.Priority != nil {
			values["priority"] = strconv.Itoa(*w.Priority)
		}
		objects["workspace "+w.Name] = values
	}
	return objects
}

// formatTargets returns the services of a route with their weights.
func formatTargets(targets []catalog.Target) string {
	texts := make([]string, len(targets))
	for i, t := range targets {
		texts[i] = t.Service + " " + strconv.FormatFloat(t.Weight, 'g', -1, 64)
	}
	return strings.Join(texts, ", ")
}

// formatTokens returns an amount, or "" if there is none.
func formatTokens(n *tokens.Count) string {
	if n == nil {
		return ""
	}
	return strconv.FormatInt(int64(*n), 10)
}

// hashKeys returns the beginnings of the hashes of keys, sorted. The keys themselves must not
// appear in the output of a CI run.
func hashKeys(keys []string) string {
	const hashBytes = 6
	hashes := make([]string, len(keys))
	for i, key := range keys {
		sum := sha256.Sum256([]byte(key))
		hashes[i] = hex.EncodeToString(sum[:hashBytes])
	}
	slices.Sort(hashes)
	return strings.Join(hashes, ", ")
}
