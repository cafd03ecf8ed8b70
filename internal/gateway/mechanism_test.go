package gateway

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestMechanismsOfTheSettingsAreKnown(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig()
	cfg.Without = mechanisms
	is.NoErr(cfg.Validate())
	cfg.Without = []Mechanism{Hedges, "hedge"}
	err := cfg.Validate()
	is.True(strings.Contains(err.Error(), `"hedge"`))
	is.True(strings.Contains(err.Error(), string(LateRetryYield))) // the error lists the valid names
}

func TestMechanismIsOffOnlyIfNamed(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig()
	for _, m := range mechanisms {
		is.True(!cfg.disabled(m))
	}
	cfg.Without = []Mechanism{Hedges}
	is.True(cfg.disabled(Hedges))
	is.True(!cfg.disabled(Retries))
}
