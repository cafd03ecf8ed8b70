package relay

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestConfigValidateReportsEveryProblem(t *testing.T) {
	is := is.New(t)
	is.NoErr(DefaultConfig().Validate())
	c := DefaultConfig()
	c.StatusInterval, c.ColdRamp, c.QueueLength, c.MaxSuspect = 0, -1, 0, 1
	err := c.Validate()
	is.True(err != nil)
	for _, want := range []string{"status_interval", "cold_ramp", "queue_length", "max_suspect"} {
		is.True(strings.Contains(err.Error(), want))
	}
}
