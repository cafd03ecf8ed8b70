package cli

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/platform"
)

func TestEvacuationsAreListed(t *testing.T) {
	is := is.New(t)
	store, address := serveStore(t)
	file := writeFile(t, strings.Replace(gatewaySettings, "STORE", address, 1))
	r := run("", "evacuations", "--settings", file)
	is.Equal(r.code, ExitOK)
	is.True(strings.Contains(r.out, "discovery.evacuate_within is 0s")) // the default of the settings

	store.Apply(platform.KindEvacuations, "salt-lake", []byte(`{}`))
	store.Apply(platform.KindEvacuations, "dum-dum", []byte(`7`))
	r = run("", "evacuations", "--settings", file)
	is.Equal(r.code, ExitOK)
	is.True(strings.Contains(r.out, "salt-lake"))
	is.True(strings.Contains(r.out, "dum-dum"))

	r = run("", "evacuations", "--settings", "none")
	is.Equal(r.code, ExitUsage)
}
