package cli

import (
	"fmt"
	"runtime/debug"
)

type versionCommand struct{ env Env }

// Execute prints the module's version and the commit that it was built from.
func (c *versionCommand) Execute([]string) error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return fail(ExitFailed, "built without version information")
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
