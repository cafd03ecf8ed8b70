package routing

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func table(routes ...Route) *Table {
	return NewTable(Config{Version: 1, Routes: routes, Services: []Service{{Name: "s", MaxConnections: 3}}})
}

func TestLongestPrefixOfTheHostWins(t *testing.T) {
	tab := table(
		Route{Name: "short", Host: "a.example", Prefix: "/q/"},
		Route{Name: "long", Host: "a.example", Prefix: "/q/list/"},
		Route{Name: "other", Host: "b.example", Prefix: "/"},
	)
	cases := []struct{ host, path, want string }{
		{"a.example", "/q/1", "short"},
		{"a.example", "/q/list/1", "long"},
		{"a.example", "/q/list", "short"}, // not below the longer prefix
		{"A.Example:8080", "/q/1", "short"},
		{"a.example", "/x", ""},
		{"a.example", "/q", ""},
		{"b.example", "/q/list/1", "other"},
		{"c.example", "/q/1", ""},
		{"", "/q/1", ""},
		{"[::1]", "/q/1", ""},
	}
	for _, tc := range cases {
		t.Run(tc.host+tc.path, func(t *testing.T) {
			is := is.New(t)
			got := ""
			if r := tab.Match(tc.host, tc.path); r != nil {
				got = r.Name
			}
			is.Equal(got, tc.want)
		})
	}
}

func TestServicesByName(t *testing.T) {
	is := is.New(t)
	s, ok := table().Service("s")
	is.True(ok)
	is.Equal(s.MaxConnections, 3)
	_, ok = table().Service("none")
	is.True(!ok)
}

func TestDestinationsShareByWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.Float64Range(0, 10), 1, 5).Draw(t, "weights")
		r := Route{}
		total := 0.0
		for i, w := range weights {
			r.Destinations = append(r.Destinations, Destination{Service: string(rune('a' + i)), Weight: w})
			total += w
		}
		const draws = 2000
		got := map[string]int{}
		for i := range draws {
			got[r.ChooseService((float64(i)+0.5)/draws)]++
		}
		for i, w := range weights {
			want := 0.0
			if total > 0 {
				want = w / total
			}
			share := float64(got[string(rune('a'+i))]) / draws
			if share < want-0.002 || share > want+0.002 {
				t.Fatalf("service %c gets %g of the requests, want %g", 'a'+i, share, want)
			}
		}
	})
}

func TestRouteWithoutWeightsHasNoDestination(t *testing.T) {
	is := is.New(t)
	r := Route{Destinations: []Destination{{Service: "a"}, {Service: "b", Weight: -1}}}
	is.Equal(r.ChooseService(0.5), "")
}
