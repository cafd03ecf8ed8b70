package cli

import (
	"context"
	"os"
	"runtime/debug"
	"syscall"
	"time"

	"rhubarbwood.example/rhubarbwood/internal/event"
	"rhubarbwood.example/rhubarbwood/internal/gatewayhost"
	"rhubarbwood.example/rhubarbwood/internal/settings"
)

type gatewayCommand struct {
	env           Env
	Settings      string `long:"settings" env:"RHUBARBWOOD_SETTINGS" required:"true" description:"Settings file of the host"`
	SuspendedFile string `long:"suspended-file" description:"For tests: file with a duration, such as 5s, that the host adds to the time it was suspended"`
}

// gcPercent is the GOGC value of a gateway host: how far its heap may grow
// between collections. Hosts are small and memory is provisioned for the peak,
// while the additional CPU time is small.
const gcPercent = 40

// Execute runs a host that forwards requests until SIGTERM or SIGINT and then
// stops it gracefully. Nothing is started if the settings are invalid.
func (c *gatewayCommand) Execute([]string) error {
	s, err := settings.Load(c.Settings, gatewayhost.DefaultSettings())
	if err != nil {
		return usageError(err)
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(s.Memory.HeapLimit())
	logQueue := event.NewQueue(c.env.Out)
	defer func() { _ = logQueue.Close() }() // flushes the queue; if the log can't be written, there is nowhere to report it
	log := event.NewWithQueue(logQueue, s.Log.ParsedLevel(), s.ID)
	h, err := gatewayhost.NewWithSystem(c.system(), s, gatewayhost.UserPlatform(), log)
	if err != nil {
		return exitErrorf(ExitFailed, "host %s: %s", s.ID, err)
	}
	if err := h.Start(context.Background()); err != nil {
		return exitErrorf(ExitFailed, "host %s: %s", s.ID, err)
	}
	h.LogDroppedLines(logQueue.Dropped)
	c.waitForStop(h)
	if err := h.Stop(context.Background()); err != nil {
		return exitErrorf(ExitForcedStop, "stop: %s", err)
	}
	return nil
}

// system returns the clock and the other system services of the host.
func (c *gatewayCommand) system() gatewayhost.System {
	system := gatewayhost.LocalSystem()
	if c.SuspendedFile != "" {
		system.Clock = system.Clock.WithOffset(func() time.Duration { return readDuration(c.SuspendedFile) })
	}
	return system
}

// readDuration returns the duration in a file, or 0 if it can't be read.
func readDuration(file string) time.Duration {
	text, _ := os.ReadFile(file)             // may not exist yet
	d, _ := time.ParseDuration(string(text)) // 0 if the text is empty or invalid
	return d
}

// waitForStop returns at the first SIGTERM or SIGINT, and reloads the settings
// at each SIGHUP.
func (c *gatewayCommand) waitForStop(h *gatewayhost.Host) {
	for s := range c.env.Signals {
		if s == syscall.SIGTERM || s == os.Interrupt {
			return
		}
		h.Reload(settings.Load(c.Settings, gatewayhost.DefaultSettings()))
	}
}
