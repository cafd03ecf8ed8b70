package cli

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"

	"rhubarbwood.example/rhubarbwood/internal/gatewayhost"
	"rhubarbwood.example/rhubarbwood/internal/member"
	"rhubarbwood.example/rhubarbwood/internal/objstore"
	"rhubarbwood.example/rhubarbwood/internal/peer"
	"rhubarbwood.example/rhubarbwood/internal/rollout"
	"rhubarbwood.example/rhubarbwood/internal/rollouts"
	"rhubarbwood.example/rhubarbwood/internal/routing"
	"rhubarbwood.example/rhubarbwood/internal/settings"
	"rhubarbwood.example/rhubarbwood/platform"
)

// addRollouts adds the command that lists rollout orders, and those below it that write them.
func addRollouts(p *flags.Parser, env Env) {
	const short = "List the rollout orders, which move a service's requests to another version of its targets"
	list := &rolloutsCommand{env: env}
	c, err := p.AddCommand("rollouts", short, short, list)
	if err == nil {
		c.SubcommandsOptional = true
		const start = "Order that the requests of a service be moved to a version, within a duration such as 30s"
		_, err = c.AddCommand("start", start, start, &startRollout{list: list})
	}
	if err == nil {
		const withdraw = "Withdraw the order of a service; its requests go back to the old version"
		_, err = c.AddCommand("withdraw", withdraw, withdraw, &withdrawRollout{list: list})
	}
	if err != nil {
		panic(fmt.Sprintf("command rollouts: %s", err)) // an invalid struct tag
	}
}

type rolloutsCommand struct {
	env      Env
	Settings string `long:"settings" env:"RHUBARBWOOD_SETTINGS" required:"true" description:"Settings file of a gateway host; names the address of the store and other hosts"`
}

// withSource connects to the store named in the settings, calls use, and disconnects.
func (c *rolloutsCommand) withSource(use func(context.Context, gatewayhost.Settings, objstore.Records, platform.Source) error) error {
	s, err := settings.Load(c.Settings, gatewayhost.DefaultSettings())
	if err != nil {
		return usageError(err)
	}
	return withRecords(s, func(ctx context.Context, records objstore.Records) error {
		return use(ctx, s, records, platform.NewSource(records))
	})
}

// Execute lists the orders in the store, with what running hosts tell of them.
func (c *rolloutsCommand) Execute(args []string) error {
	if len(args) > 0 {
		return exitErrorf(ExitUsage, "unknown command %q; want start, withdraw or none", args[0])
	}
	return c.withSource(func(ctx context.Context, s gatewayhost.Settings, records objstore.Records, source platform.Source) error {
		read, err := source.Rollouts(ctx)
		if err != nil {
			return exitErrorf(ExitFailed, "%s", err)
		}
		told, asked := askHosts(ctx, s, objstore.New(records), read.Orders)
		var rows [][]string
		for _, o := range read.Orders {
			rows = append(rows, rolloutRow(o, told[o.Service]))
		}
		writeTable(c.env.Out, []string{"SERVICE", "VERSION", "STATE", "DURATION", "AGE", "PHASE", "SHARE", "REASON"}, rows)
		for _, u := range read.Unreadable {
			fmt.Fprintf(c.env.Out, "rollout %s can't be read: %s\n", u.Service, u.Problem)
		}
		if asked == 0 && len(read.Orders) > 0 {
			fmt.Fprintln(c.env.Out, "No host answered, so ages and phases are unknown.")
		}
		if !s.Rollout.Enabled() {
			fmt.Fprintln(c.env.Out, "Hosts with these settings don't carry out rollouts: rollout.canary_share is 0.")
		}
		return nil
	})
}

// rolloutRow returns the row of an order, with what a host told of it; nil: none did.
func rolloutRow(o rollout.Order, told *rollout.Directive) []string {
	row := []string{o.Service, o.Version, cmp.Or(string(o.State()), "new"), o.Duration.String(), "-", "-", "-", ""}
	if told == nil {
		return row
	}
	if told.Age >= 0 {
		row[4] = told.Age.Round(100 * time.Millisecond).String()
	}
	row[5], row[7] = rollouts.PhaseName(told.Phase), told.Reason
	if told.Phase == rollout.PhaseCanary {
		row[6] = fmt.Sprintf("%.3f", told.Share)
	}
	return row
}

const (
	// askTimeout bounds the question to one host.
	askTimeout = time.Second
	// maxAsked bounds the hosts that are asked about the orders.
	maxAsked = 16
)

// askHosts asks running hosts about orders. It returns by service what the one that is furthest told,
// and the number of hosts that answered.
func askHosts(ctx context.Context, s gatewayhost.Settings, store objstore.Store, orders []rollout.Order) (told map[string]*rollout.Directive, answered int) {
	told = map[string]*rollout.Directive{}
	if len(orders) == 0 {
		return told, 0
	}
	pool := peer.NewPool()
	defer func() { _ = pool.Stop(context.Background()) }() // it has only idle connections
	for _, address := range hostAddresses(ctx, s, store) {
		ctx, cancel := context.WithTimeout(ctx, askTimeout)
		all, err := rollouts.Ask(ctx, rollouts.Client{Dialer: pool}, member.Host{ID: address, PeerAddress: address}, orders)
		cancel()
		if err != nil {
			continue
		}
		answered++
		for _, d := range all {
			known := told[d.ID.Service]
			if known == nil || d.Phase > known.Phase || d.Phase == known.Phase && known.Age < 0 {
				told[d.ID.Service] = &d
			}
		}
	}
	return told, answered
}

// hostAddresses returns the addresses of hosts: the seeds, and those with a record in the store.
func hostAddresses(ctx context.Context, s gatewayhost.Settings, store objstore.Store) []string {
	addresses := slices.Clone(s.Member.Seeds)
	if s.Addresses.Peers != "" {
		addresses = append(addresses, s.Addresses.Peers)
	}
	if listing, err := store.List(ctx, objstore.KindGateway); err == nil {
		for _, o := range listing.Objects {
			var h member.Host
			if json.Unmarshal(o.Value, &h) == nil && h.PeerAddress != "" {
				addresses = append(addresses, h.PeerAddress)
			}
		}
	}
	slices.Sort(addresses)
	addresses = slices.Compact(addresses)
	return addresses[:min(len(addresses), maxAsked)]
}

type startRollout struct {
	list *rolloutsCommand
	Args struct {
		Service  string `positional-arg-name:"SERVICE"`
		Version  string `positional-arg-name:"VERSION"`
		Duration string `positional-arg-name:"DURATION"`
	} `positional-args:"yes" required:"yes"`
}

// Execute writes the order.
func (c *startRollout) Execute(args []string) error {
	d, err := time.ParseDuration(c.Args.Duration)
	switch {
	case len(args) > 0:
		return exitErrorf(ExitUsage, "unexpected argument %q; want SERVICE VERSION DURATION", args[0])
	case strings.TrimSpace(c.Args.Service) == "" || strings.TrimSpace(c.Args.Version) == "":
		return exitErrorf(ExitUsage, "the service and the version must not be empty")
	case err != nil || d <= 0:
		return exitErrorf(ExitUsage, "duration %q: want a number above 0 with a unit, such as 30s", c.Args.Duration)
	}
	return c.list.withSource(func(ctx context.Context, s gatewayhost.Settings, _ objstore.Records, source platform.Source) error {
		if !s.Rollout.Enabled() {
			return exitErrorf(ExitUsage, "hosts with these settings don't carry out rollouts: rollout.canary_share is 0")
		}
		if err := c.check(ctx, source); err != nil {
			return err
		}
		if err := source.StartRollout(ctx, c.Args.Service, c.Args.Version, d); err != nil {
			return writeError(err)
		}
		fmt.Fprintf(c.list.env.Out, "Ordered: %s to %s within %s. \"rhubarbwood rollouts\" shows how far it is.\n", c.Args.Service, c.Args.Version, d)
		return nil
	})
}

// check returns an error if the configuration has no such service, or there is an order already.
func (c *startRollout) check(ctx context.Context, source platform.Source) error {
	config, err := source.Config(ctx)
	if err != nil {
		return exitErrorf(ExitFailed, "%s", err)
	}
	isService := func(s routing.Service) bool { return s.Name == c.Args.Service }
	if config.Found && !slices.ContainsFunc(config.Config.Services, isService) {
		return exitErrorf(ExitFailed, "the configuration in the store has no service %q", c.Args.Service)
	}
	read, err := source.Rollouts(ctx)
	if err != nil {
		return exitErrorf(ExitFailed, "%s", err)
	}
	for _, o := range read.Orders {
		if o.Service == c.Args.Service && o.Version == c.Args.Version {
			return exitErrorf(ExitFailed, "there is an order of %s to %s, state %s; withdraw it first", o.Service, o.Version, cmp.Or(string(o.State()), "new"))
		}
	}
	return nil
}

type withdrawRollout struct {
	list *rolloutsCommand
	Args struct {
		Service string `positional-arg-name:"SERVICE"`
	} `positional-args:"yes" required:"yes"`
}

// Execute removes the order.
func (c *withdrawRollout) Execute(args []string) error {
	if len(args) > 0 {
		return exitErrorf(ExitUsage, "unexpected argument %q; want SERVICE", args[0])
	}
	return c.list.withSource(func(ctx context.Context, _ gatewayhost.Settings, _ objstore.Records, source platform.Source) error {
		err := source.WithdrawRollout(ctx, c.Args.Service)
		if errors.Is(err, objstore.ErrNotFound) {
			return exitErrorf(ExitFailed, "there is no order for service %q", c.Args.Service)
		}
		if err != nil {
			return writeError(err)
		}
		fmt.Fprintf(c.list.env.Out, "Withdrawn. Unless it had succeeded, hosts send requests of %s to the old version again.\n", c.Args.Service)
		return nil
	})
}

// writeError returns the error of a write, with the exit code that tells whether it may have taken
// effect.
func writeError(err error) error {
	var unanswered *objstore.Unanswered
	if errors.As(err, &unanswered) {
		return exitErrorf(ExitUnknown, "%s", err)
	}
	return exitErrorf(ExitFailed, "%s", err)
}
