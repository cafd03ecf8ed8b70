package platformtarget

import (
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"rhubarbwood.example/rhubarbwood/internal/standin"
	"rhubarbwood.example/rhubarbwood/internal/unit"
	"rhubarbwood.example/rhubarbwood/platform"
)

const address = "10.128.0.9:8080"

// ask sends one request over an in-memory network.
func ask(t *testing.T, target *Target, header map[string]string) (*http.Response, []byte, error) {
	t.Helper()
	network := standin.NewNetwork()
	ln, _ := network.Listen(address)
	server := http.Server{Handler: target}
	go func() { _ = server.Serve(ln) }()
	defer server.Close()
	transport := &http.Transport{DialContext: network.Dial}
	defer transport.CloseIdleConnections()
	r, _ := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+"/a/b", nil)
	for k, v := range header {
		r.Header.Set(k, v)
	}
	resp, err := transport.RoundTrip(r)
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return resp, body, err
}

var mine = map[string]string{platform.HeaderRequestID: "r1", platform.HeaderInstance: "i-1", platform.HeaderDeadline: "600"}

func newTarget(f Faults) *Target {
	t := New(Config{ID: "i-1", Service: "s", Slots: 1, Records: 3, Latency: standin.Latency{Mean: unit.Duration(10 * time.Millisecond)}})
	t.SetFaults(f)
	return t
}

func TestAnswers(t *testing.T) {
	cases := []struct {
		name   string
		faults Faults
		header map[string]string
		status int // 0: no response
		ran    int
	}{
		{"whole", Faults{}, mine, 200, 1},
		{"fails", Faults{Fail: 1}, mine, 500, 1},
		{"sheds", Faults{Shed: 1}, mine, 503, 0},
		{"loses the answer", Faults{Lose: 1}, mine, 0, 1},
		{"cuts the answer", Faults{Cut: 1}, mine, 0, 1},
		{"answers without length", Faults{Unframed: 1}, mine, 200, 1},
		{"answers twice", Faults{Extra: 1}, mine, 200, 1},
		{"another target", Faults{Impostor: true}, mine, 421, 0},
		{"meant for another", Faults{}, map[string]string{platform.HeaderInstance: "i-2"}, 421, 0},
		{"without an id", Faults{}, nil, 400, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				target := newTarget(tc.faults)
				resp, body, err := ask(t, target, tc.header)
				is.Equal(len(target.Runs()), tc.ran)
				is.Equal(target.Received(), 1)
				if tc.status == 0 {
					is.True(err != nil)
					return
				}
				is.NoErr(err)
				is.Equal(resp.StatusCode, tc.status)
				if tc.status == 200 {
					is.Equal(string(body), string(Body("s", "r1", 3)))
					is.Equal(resp.Header.Get(platform.HeaderSignature), Signature("s", "r1"))
					is.Equal(target.Runs()[0].Budget, 600*time.Millisecond)
				}
			})
		})
	}
}

func TestSlowTargetTakesLonger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		began := time.Now()
		_, _, err := ask(t, newTarget(Faults{Slow: 8}), mine)
		is.NoErr(err)
		is.Equal(time.Since(began), 80*time.Millisecond) // virtual time
	})
}
