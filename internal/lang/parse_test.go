package lang

import (
	"encoding/json"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
)

const exampleULID = "01ARZ3NDEKTSV4RRFFQ69G5FAV"

const day = 24 * time.Hour

func TestParse(t *testing.T) {
	cases := map[string]Statement{
		`search guest-portal "pressure cooker" limit 5`: Search{Workload: "guest-portal", Text: "pressure cooker", Limit: 5, MinCoverage: -1},
		`SEARCH Workload "service" "x"`:                 Search{Workload: "service", Text: "x", MinCoverage: -1},
		`search service guest-portal-01 "a \"b\"" budget 250ms MIN coverage 0.9;`: Search{
			Service: "guest-portal-01", Text: `a "b"`, MinCoverage: 0.9, Budget: 250 * time.Millisecond},
		`reserve "pot" in desk budget 500ms id ` + exampleULID: Reserve{Item: "pot", Service: "desk", ID: exampleULID, Budget: 500 * time.Millisecond},
		`show hosts -- all of them`:                            Show{Subject: Hosts},
		`show answers where caller = a and Outcome != "not run" since 3d by service, outcome limit 3`: Show{
			Subject: Answers, Where: []Condition{{Field: "caller", Value: "a"}, {Field: "outcome", Not: true, Value: "not run"}},
			Since: 3 * day, By: []string{"service", "outcome"}, Limit: 3},
		`show claim ` + exampleULID:             ShowClaim{ID: exampleULID},
		`create service a from '{"a":"it''s"}'`: CreateService{Name: "a", JSON: json.RawMessage(`{"a":"it's"}`)},
		`dry run alter service a set hedge_budget = -1, urgency = deferrable at version 3`: DryRun{Change: AlterService{Name: "a", Version: 3,
			Set: []Assignment{{"hedge_budget", Value{Number, "-1"}}, {"urgency", Value{Word, "deferrable"}}}}},
		`drop service a at version 9`:   DropService{Name: "a", Version: 9},
		`drain target t-1 of service x`: DrainTarget{Target: "t-1", Service: "x"},
		`undrain target t-1`:            UndrainTarget{Target: "t-1"},
		`retire snapshot 3 of a`:        RetireSnapshot{Workload: "a", ID: 3},
		`publish snapshot '{"id":7}'`:   PublishSnapshot{JSON: json.RawMessage(`{"id":7}`)},
	}
	for text, want := range cases {
		t.Run(text, func(t *testing.T) {
			is := is.New(t)
			got, err := Parse(text)
			is.NoErr(err)
			is.Equal(got, want)
		})
	}
}

func TestParseTellsPlaceAndExpectation(t *testing.T) {
	cases := map[string]Error{
		`serch x "a"`:                   {1, 1, `"serch"`, verbList, ""},
		`search x`:                      {1, 9, "", "text in double quotes", "search"},
		`search x "a" limt 5`:           {1, 14, `"limt"`, "a clause of the statement, or its end", "search"},
		`search x "a" limit 0`:          {1, 20, "0", "a whole number above zero", "search"},
		`search x "a" limit 1 limit 2`:  {1, 22, "a second limit", "limit at most once", "search"},
		`search x "a`:                   {1, 10, "an opening quote", "a closing quote of the same kind", "search"},
		"show hosts;\nshow host":        {2, 6, `"host"`, "services, targets, snapshots, hosts, config, answers, coverage, burn or claim", "show"},
		`show hosts where a`:            {1, 19, "", `"=" or "!=" a value`, "show"},
		`show hosts where état = x`:     {1, 18, "é", "a word, a number, or text in quotes", "show"},
		`alter service x set a = 1`:     {1, 26, "", `"at" "version" a number`, "alter"},
		`alter service x set a 1`:       {1, 23, `"1"`, `"=" a value`, "alter"},
		`drop service x at version 0`:   {1, 27, "0", "the version that was read, a whole number above zero", "drop"},
		`drain x`:                       {1, 7, `"x"`, `"target" a target's id`, "drain"},
		`dry run show hosts`:            {1, 1, `"dry run"`, "a change after it: create, alter, drop, drain, undrain, publish or retire", "dry"},
		`create service x`:              {1, 17, "", `"from" JSON in single quotes or "set" KEY = VALUE`, "create"},
		`create service x from '{'`:     {1, 23, "text that is not JSON", "valid JSON in single quotes", "create"},
		`reserve x in y`:                {1, 9, `"x"`, "the item in double quotes", "reserve"},
		`search x "a" min coverage 1.1`: {1, 27, "1.1", "a fraction from 0 to 1, such as 0.9", "search"},
		`show hosts since 99999999999h`: {1, 18, "99999999999h", "a duration above zero with a unit, such as 250ms, 1h or 3d", "show"},
		``:                              {1, 1, "", "one statement", ""},
	}
	for text, want := range cases {
		t.Run(text, func(t *testing.T) {
			is := is.New(t)
			want.Usage = usageByVerb[want.Usage]
			_, err := Parse(text)
			var got *Error
			is.True(errors.As(err, &got))
			is.Equal(*got, want)
		})
	}
}

func TestParseAllReadsAFile(t *testing.T) {
	is := is.New(t)
	all, err := ParseAll("-- weekly check\nshow hosts;\n\nshow config; drain target a;\n")
	is.NoErr(err)
	is.Equal(all, []Statement{Show{Subject: Hosts}, Show{Subject: Config}, DrainTarget{Target: "a"}})
}

func TestValueRaw(t *testing.T) {
	is := is.New(t)
	for text, want := range map[string]string{
		"0.95": "0.95", "110ms": `"110ms"`, "true": "true", "deferrable": `"deferrable"`, `"a b"`: `"a b"`, `'[1]'`: "[1]",
	} {
		s, err := Parse("alter service x set k = " + text + " at version 1")
		is.NoErr(err)
		is.Equal(string(s.(AlterService).Set[0].Value.RawJSON()), want)
	}
}
