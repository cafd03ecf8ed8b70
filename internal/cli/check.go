package cli

import (
	"errors"
	"fmt"

	"rhubarbwood.example/rhubarbwood/internal/gatewayhost"
	"rhubarbwood.example/rhubarbwood/internal/host"
	"rhubarbwood.example/rhubarbwood/internal/settings"
	"rhubarbwood.example/rhubarbwood/internal/standin/objectstore"
	"rhubarbwood.example/rhubarbwood/internal/standin/target"
)

// Kinds of settings files.
const (
	kindHost     = "host"
	kindGateway  = "gateway"
	kindPlatform = "platform"
	kindTarget   = "target"
)

type checkCommand struct {
	env  Env
	Kind string `long:"kind" choice:"host" choice:"gateway" choice:"platform" choice:"target" default:"host" description:"Kind of the settings files"`
	Args struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes"`
}

// Execute validates every file, reports all problems found in them, and prints
// the effective settings of the valid ones.
func (c *checkCommand) Execute([]string) error {
	var problems []error
	for _, file := range c.Args.Files {
		text, err := effectiveSettings(c.Kind, file)
		if err != nil {
			problems = append(problems, err)
			continue
		}
		fmt.Fprintf(c.env.Out, "// %s\n%s\n", file, text)
	}
	return usageError(errors.Join(problems...))
}

// usageError returns an error about settings with the exit code ExitUsage.
func usageError(err error) error {
	if err == nil {
		return nil
	}
	return exitErrorf(ExitUsage, "%s", err)
}

func effectiveSettings(kind, file string) (string, error) {
	switch kind {
	case kindGateway:
		return loadAndPrint(file, gatewayhost.DefaultSettings())
	case kindPlatform:
		return loadAndPrint(file, objectstore.DefaultConfig())
	case kindTarget:
		return loadAndPrint(file, target.DefaultConfig())
	}
	return loadAndPrint(file, host.DefaultSettings())
}

func loadAndPrint[T any](file string, defaults T) (string, error) {
	loaded, err := settings.Load(file, defaults)
	if err != nil {
		return "", err
	}
	return settings.EffectiveJSON(loaded)
}
