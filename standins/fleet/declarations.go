package fleet

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// Declarations returns the declarations of the fleet as INI text, as Start
// applies them.
func (f *Fleet) Declarations() string {
	var b strings.Builder
	fmt.Fprintf(&b, "[deployment]\ndomains = %s\nshards = 4\n", strings.Join(f.opts.Domains, ","))
	fmt.Fprintf(&b, "[service %s]\nkind = model\nmax-output-tokens = 512\ntimeout = 60s\nfirst-byte = 5s\nidle = 3s\nconcurrency = %d\n", ModelService, max(f.opts.Concurrency, 64))
	fmt.Fprintf(&b, "[service %s]\nkind = app\ntimeout = 20s\nfirst-byte = 5s\nidle = 3s\nconcurrency = 64\n", AppService)
	fmt.Fprintf(&b, "[route %s lookup]\nmethod = GET\npath = /addresses\nprice = 1\nrepeatable = true\n", AppService)
	fmt.Fprintf(&b, "[route %s booking]\nmethod = POST\npath = /bookings\nprice = 20\nrepeatable = false\n", AppService)
	fmt.Fprintf(&b, "[objective %s]\ntarget = 0.95\nfirst-token = 1800ms\nbetween-tokens = 70ms\n", ModelService)
	key := sha256.Sum256([]byte(WorkspaceKey))
	fmt.Fprintf(&b, "[workspace %s]\nkey-sha256 = %s\ndefault-budget = %s\n", Workspace, hex.EncodeToString(key[:]), BudgetName)
	for _, name := range append([]string{BudgetName}, f.opts.MoreBudgets...) {
		fmt.Fprintf(&b, "[budget %s/%s]\nopening = %d\n", Workspace, name, f.opts.Budget)
	}
	for _, e := range f.Endpoints {
		fmt.Fprintf(&b, "[endpoint %s]\nservice = %s\naddress = %s\ndomain = %s\n", e.ID, e.Service, e.Address, e.Domain)
	}
	return b.String()
}

// DeclarationsFile writes the declarations to a file and returns its path.
func (f *Fleet) DeclarationsFile() (string, error) {
	path := filepath.Join(f.dir, "declarations.ini")
	return path, os.WriteFile(path, []byte(f.Declarations()), 0o600)
}

func (f *Fleet) applyDeclarations(ctx context.Context) error {
	path, err := f.DeclarationsFile()
	if err != nil {
		return err
	}
	for _, i := range f.Instances {
		if err := f.waitListening(ctx, i.Operators); err != nil {
			return err
		}
	}
	out, err := f.Ctl(ctx, "apply", path, "--wait")
	if err != nil {
		return fmt.Errorf("apply the declarations: %w: %s", err, out)
	}
	return nil
}
