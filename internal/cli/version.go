package cli

import (
	"fmt"
	"runtime/debug"
)

type versionCommand struct{ env Env }

// Execute prints the version of the module, the commit it was built from, and
// the Go version.
func (c *versionCommand) Execute([]string) error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return exitErrorf(ExitFailed, "the binary was built without version information")
	}
	version, commit := info.Main.Version, "unknown"
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			commit = s.Value
		}
	}
	fmt.Fprintf(c.env.Out, "rhubarbwood %s commit %s %s\n", version, commit, info.GoVersion)
	return nil
}
