package e2e

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
)

// inARow is how many whole answers one after another show that a lost target
// no longer costs coverage.
const inARow = 10

// Every shard of guest-portal-01 has a replica on each of its targets, so the
// last of them is enough for whole answers.
func TestLastReplicaIsEnough(t *testing.T) {
	s := startSite(t, 1)
	for _, p := range s.targets {
		if strings.HasPrefix(p.name, "guest-portal-01-") && p.name != "guest-portal-01-t1" {
			_ = p.cmd.Process.Kill()
			<-p.ended
		}
	}
	whole := 0
	until(t, "whole answers from the last replica", func() bool {
		if !s.hosts[0].wholeAnswer(t, "guest-portal-01") {
			whole = 0
			return false
		}
		whole++
		return whole == inARow
	})
}

func (h *host) wholeAnswer(t *testing.T, service string) bool {
	t.Helper()
	resp, body := h.post(t, "/v1/search", "", `{"service": "`+service+`", "min_coverage": 0}`)
	var a answer
	if resp.StatusCode == http.StatusOK {
		if err := json.Unmarshal(body, &a); err != nil {
			t.Fatal(err)
		}
	}
	return a.Coverage.Complete
}
