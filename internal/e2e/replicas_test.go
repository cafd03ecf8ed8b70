package e2e

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
)

// consecutiveAnswers is the number of consecutive complete answers that shows that lost targets no
// longer reduce coverage.
const consecutiveAnswers = 10

// Each target of guest-portal-01 has a replica of every shard, so answers must be complete as long
// as one target is left.
func TestLastReplicaIsEnough(t *testing.T) {
	s := startSite(t, 1)
	for _, p := range s.targets {
		if strings.HasPrefix(p.name, "guest-portal-01-") && p.name != "guest-portal-01-t1" {
			_ = p.cmd.Process.Kill()
			<-p.ended
		}
	}
	whole := 0
	waitUntil(t, "whole answers from the last replica", func() bool {
		if !s.hosts[0].wholeAnswer(t, "guest-portal-01") {
			whole = 0
			return false
		}
		whole++
		return whole == consecutiveAnswers
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
