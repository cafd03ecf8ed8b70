package main

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

const (
	passingLog = "ok  \trhubarbwood.example/rhubarbwood/internal/plan\t0.1s\n"
	failingLog = "--- FAIL: TestSweep (0.00s)\n    --- FAIL: TestSweep/late (0.00s)\nFAIL\nFAIL\trhubarbwood.example/rhubarbwood/internal/claim\t0.1s\n"
)

const list = "# comment\ninternal/claim.TestSweep; the fake drops a write; issue 9\n"

func TestEvaluate(t *testing.T) {
	tests := map[string]struct {
		list, log string
		status    int
		passed    bool
		wantText  string
	}{
		"all pass":                  {"", passingLog, 0, true, ""},
		"unknown failure":           {"", passingLog + failingLog, 2, false, "RED: internal/claim.TestSweep\n"},
		"known failure":             {list, passingLog + failingLog, 2, true, "KNOWN RED: internal/claim.TestSweep: the fake drops a write (issue 9)\n"},
		"known test passes":         {list, passingLog, 0, true, "BUT DID NOT FAIL: internal/claim.TestSweep (issue 9)\n"},
		"known and unknown failure": {list, "--- FAIL: TestOther (0.00s)\n" + failingLog, 2, false, "RED: internal/claim.TestOther\n"},
		"same name elsewhere":       {list, strings.ReplaceAll(failingLog, "claim", "entry"), 2, false, "RED: internal/entry.TestSweep\n"},
		"panic in a known test":     {list, "--- FAIL: TestSweep (0.00s)\npanic: boom\nFAIL\trhubarbwood.example/rhubarbwood/internal/claim\t0.1s\n", 2, false, "RED: internal/claim: not built"},
		"not built":                 {list, "FAIL\trhubarbwood.example/rhubarbwood/internal/plan [build failed]\n" + failingLog, 2, false, "RED: internal/plan: not built"},
		"vet failed":                {list, "# internal/plan\nvet: bad\n", 2, false, "RED: the command failed with status 2 outside of the tests"},
		"terminated":                {list, passingLog + failingLog, 124, false, "RED: the command was terminated with status 124"},
		"nothing was tested":        {"", "", 0, false, "RED: the log contains no tested package"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			known, err := parseList(test.list)
			is.NoErr(err)
			r := evaluate(known, readLog(test.log), test.status)
			is.Equal(r.passed(), test.passed)
			is.True(strings.Contains(r.String(), test.wantText))
		})
	}
}

func TestListIsChecked(t *testing.T) {
	is := is.New(t)
	for _, bad := range []string{"TestX", "internal/a.TestX; cause", "internal/a.TestX; ; issue", "TestX; cause; issue",
		strings.Repeat("internal/a.TestX; cause; issue\n", maxKnown+1)} {
		_, err := parseList(bad)
		is.True(err != nil)
	}
}
