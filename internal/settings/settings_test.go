package settings

import (
	"errors"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/unit"
)

type fleet struct {
	Zones map[string]zone `json:"zones"`
	Ports []uint16        `json:"ports"`
	Ratio float64         `json:"ratio"`
	Quiet bool            `json:"quiet"`
	Raise *int            `json:"raise"`
}

type zone struct {
	Hosts int           `json:"hosts"`
	Delay unit.Duration `json:"delay"`
}

func (z zone) Validate() error {
	if z.Hosts < 1 {
		return errors.New("hosts: want 1 or more")
	}
	return nil
}

func TestOtherTypes(t *testing.T) {
	is := is.New(t)
	f, err := Parse("f", []byte(`{"zones": {"a": {"hosts": 3, "delay": "1ms"}}, "ports": [1, 65535], "ratio": 0.5, "quiet": true, "raise": 2}`), fleet{})
	is.NoErr(err)
	is.Equal(f.Zones["a"].Hosts, 3)
	is.Equal(f.Ports, []uint16{1, 65535})
	is.Equal(*f.Raise, 2)

	_, err = Parse("f", []byte(`{"zones": {"a": {"hosts": 1.5}}, "ports": [65536, -1], "ratio": "x", "quiet": 1, "raise": null}`), fleet{})
	var problems Problems
	is.True(errors.As(err, &problems))
	paths := make([]string, len(problems))
	for i, p := range problems {
		paths[i] = p.Path
	}
	is.Equal(paths, []string{"zones.a.hosts", "ports[0]", "ports[1]", "ratio", "quiet", "raise"})
}

func TestEachItemIsValidated(t *testing.T) {
	is := is.New(t)
	type list struct {
		Zones []zone          `json:"zones"`
		Named map[string]zone `json:"named"`
	}
	_, err := Parse("f", []byte(`{"zones": [{"hosts": 0}, {"hosts": 1}, {}],
"named": {"b": {}}}`), list{})
	is.True(err != nil)
	is.Equal(err.Error(), `f:1:22: zones[0].hosts: want 1 or more
f:1:40: zones[2].hosts: want 1 or more
f:2:16: named.b.hosts: want 1 or more`)
}

// revalidatingFleet validates its zone a second time, as some outer types do.
type revalidatingFleet struct {
	Zone zone `json:"zone"`
}

func (f revalidatingFleet) Validate() error {
	return errors.Join(f.Zone.Validate(), errors.New("zone: want a delay"))
}

func TestOuterValidatorRepeatsNothing(t *testing.T) {
	is := is.New(t)
	_, err := Parse("f", []byte(`{"zone": {"hosts": 0}}`), revalidatingFleet{})
	is.True(err != nil)
	is.Equal(err.Error(), "f:1:10: zone: want a delay\nf:1:20: zone.hosts: want 1 or more")
}

func TestMissingFile(t *testing.T) {
	is := is.New(t)
	_, err := Load(filepath.Join(t.TempDir(), "none"), fleet{})
	is.True(Error.Has(err))
}
