package fleet

import (
	"bytes"
	"context"
	"os/exec"
	"path/filepath"
)

// Ctl runs clementinectl against the operators' APIs of all instances that have
// not ended and returns what it printed.
func (f *Fleet) Ctl(ctx context.Context, args ...string) (string, error) {
	return f.CtlAt(ctx, f.Instances, args...)
}

// CtlAt is Ctl with a choice of instances. An exit code other than 0 is an
// *exec.ExitError.
func (f *Fleet) CtlAt(ctx context.Context, instances []*Instance, args ...string) (string, error) {
	var all []string
	for _, i := range instances {
		if i.Process != nil && !i.Ended() {
			all = append(all, "--address", i.Operators)
		}
	}
	all = append(all, "--token-file", f.tokenFile, "--operator", "demo")
	cmd := exec.CommandContext(ctx, filepath.Join(f.opts.Bin, "clementinectl"), append(all, args...)...)
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &out
	err := cmd.Run()
	return out.String(), err
}
