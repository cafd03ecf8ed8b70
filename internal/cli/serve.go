package cli

import (
	"context"
	"fmt"
	"os"
	"syscall"

	"rhubarbwood.example/rhubarbwood/internal/event"
	"rhubarbwood.example/rhubarbwood/internal/host"
	"rhubarbwood.example/rhubarbwood/internal/settings"
)

type serveCommand struct {
	env      Env
	Settings string `long:"settings" required:"true" description:"Settings file of the host"`
}

// Execute runs a host until SIGTERM or SIGINT and then stops it gracefully.
// Nothing is started if the settings are invalid.
func (c *serveCommand) Execute([]string) error {
	s, err := settings.Load(c.Settings, host.DefaultSettings())
	if err != nil {
		return usageError(err)
	}
	log := event.New(c.env.Err, s.Log.ParsedLevel(), s.ID)
	h, err := host.New(s, log)
	if err != nil {
		return exitErrorf(ExitFailed, "host %s: %s", s.ID, err)
	}
	if err := h.Start(context.Background()); err != nil {
		return exitErrorf(ExitFailed, "host %s: %s", s.ID, err)
	}
	at := h.Addresses()
	fmt.Fprintf(c.env.Out, "started callers=%s operators=%s peers=%s\n", at.Callers, at.Operators, at.Peers)
	c.waitForStop(h)
	return c.stop(h)
}

// waitForStop returns at the first SIGTERM or SIGINT, and reloads the settings
// at each SIGHUP.
func (c *serveCommand) waitForStop(h *host.Host) {
	for s := range c.env.Signals {
		if isStop(s) {
			return
		}
		c.reload(h)
	}
}

// reload applies the settings that can change while the host runs. An invalid
// file changes nothing.
func (c *serveCommand) reload(h *host.Host) {
	s, err := settings.Load(c.Settings, host.DefaultSettings())
	h.Reload(s, err)
}

func isStop(s os.Signal) bool { return s == syscall.SIGTERM || s == os.Interrupt }

// stop stops the host gracefully. Further signals are reported to the host but
// don't shorten the stop.
func (c *serveCommand) stop(h *host.Host) error {
	done := make(chan error, 1)
	go func() { done <- h.Stop(context.Background()) }()
	for {
		select {
		case err := <-done:
			if err != nil {
				return exitErrorf(ExitForcedStop, "stop: %s", err)
			}
			return nil
		case s := <-c.env.Signals:
			if isStop(s) {
				h.LogRepeatedStop()
			}
		}
	}
}
