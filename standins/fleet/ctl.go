package fleet

import (
	"bytes"
	"context"
	"os/exec"
	"path/filepath"
)

// Ctl runs clementinectl against the operators' APIs of all running instances and
// returns its standard output and standard error together.
func (f *Fleet) Ctl(ctx context.Context, args ...string) (string, error) {
	return f.CtlAt(ctx, f.Instances, args...)
}

// CtlAt is like Ctl, but uses only the given instances. It returns an
// *exec.ExitError when the exit code is not 0.
func (f *Fleet) CtlAt(ctx context.Context, instances []*Instance, args ...string) (string, error) {
	var ctlArgs []string
	for _, i := range instances {
		if i.Process != nil && !i.HasEnded() {
			ctlArgs = append(ctlArgs, "--address", i.Operators)
		}
	}
	ctlArgs = append(ctlArgs, "--token-file", f.tokenFile, "--operator", "demo")
	cmd := exec.CommandContext(ctx, filepath.Join(f.opts.Bin, "clementinectl"), append(ctlArgs, args...)...)
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &out
	err := cmd.Run()
	return out.String(), err
}
