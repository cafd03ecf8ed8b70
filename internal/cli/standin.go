package cli

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"rhubarbwood.example/rhubarbwood/internal/settings"
	"rhubarbwood.example/rhubarbwood/internal/standin"
	"rhubarbwood.example/rhubarbwood/internal/standin/objectstore"
	"rhubarbwood.example/rhubarbwood/internal/standin/target"
)

// standinStopTimeout is how long a stopping stand-in waits for requests in flight.
const standinStopTimeout = 5 * time.Second

func addStandins(parent *flags.Command, env Env) {
	add := func(name, short string, command any) {
		if _, err := parent.AddCommand(name, short, short, command); err != nil {
			panic(fmt.Sprintf("command standin %s: %s", name, err)) // an invalid struct tag
		}
	}
	add("platform", "Run a stand-in for the platform", &standinPlatform{env: env})
	add("target", "Run a stand-in for a target", &standinTarget{env: env})
}

type standinPlatform struct {
	env      Env
	Settings string `long:"settings" required:"true" description:"Settings file"`
}

// Execute serves the object API until a signal.
func (c *standinPlatform) Execute([]string) error {
	cfg, err := settings.Load(c.Settings, objectstore.DefaultConfig())
	if err != nil {
		return usageError(err)
	}
	cfg, err = cfg.Load()
	if err != nil {
		return usageError(err)
	}
	return serveUntilSignal(c.env, cfg.Listen, objectstore.NewServer(objectstore.New(cfg)))
}

type standinTarget struct {
	env      Env
	Settings string `long:"settings" required:"true" description:"Settings file"`
}

// Execute serves shard requests until a signal.
func (c *standinTarget) Execute([]string) error {
	cfg, err := settings.Load(c.Settings, target.DefaultConfig())
	if err != nil {
		return usageError(err)
	}
	t := target.New(cfg)
	if err := t.OpenLog(); err != nil {
		return usageError(err)
	}
	err = serveUntilSignal(c.env, cfg.Listen, target.NewServer(t))
	return errors.Join(err, t.CloseLog())
}

// serveUntilSignal listens, prints the address to standard output, and serves
// until SIGTERM or SIGINT.
func serveUntilSignal(env Env, address string, s standin.Server) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return exitErrorf(ExitFailed, "listen: %s", err)
	}
	fmt.Fprintf(env.Out, "listening %s\n", ln.Addr())
	served := make(chan error, 1)
	go func() { served <- s.Serve(ln) }()
	select {
	case err := <-served:
		return exitErrorf(ExitFailed, "serve: %s", err)
	case <-stopSignal(env.Signals):
	}
	ctx, cancel := context.WithTimeout(context.Background(), standinStopTimeout)
	defer cancel()
	if err := s.Shutdown(ctx); err != nil {
		return exitErrorf(ExitForcedStop, "stop: %s", err)
	}
	return nil
}

// stopSignal returns a channel that is closed at the first SIGTERM or SIGINT.
func stopSignal(signals <-chan os.Signal) <-chan struct{} {
	stop := make(chan struct{})
	go func() {
		for s := range signals {
			if isStop(s) {
				close(stop)
				return
			}
		}
	}()
	return stop
}
