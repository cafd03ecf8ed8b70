#!/usr/bin/env bash
# Checks that the soak test detects faults: builds the program with one mechanism
# disabled at a time, in a temporary copy, and soaks it. Each of these broken
# variants must violate its invariant within a few seeds. Takes some minutes.
set -euo pipefail
cd "$(dirname "$0")/.."

seeds=${1:-12} # for each variant
failed=0

# twin NAME INVARIANT FILE SED [FLAG...]: SED on FILE disables the mechanism; the FLAGs are passed to the soak.
# INVARIANT is the name that the soak prints for the violated invariant.
twin() {
  local copy
  copy=$(mktemp -d)
  git ls-files -z --cached --others --exclude-standard -- '*.go' go.mod go.sum | xargs -0 cp --parents -t "$copy"
  cp "$copy/$3" "$copy/before"
  sed -i -E "$4" "$copy/$3"
  if cmp -s "$copy/before" "$copy/$3"; then
    echo "FAILED   $1: the pattern matches no line of $3"
    failed=1
  elif ! (cd "$copy" && go build -o rhubarbwood ./cmd/rhubarbwood); then
    echo "FAILED   $1: does not build"
    failed=1
  elif (cd "$copy" && ./rhubarbwood soak --seeds "$seeds" --parallel 4 "${@:5}" >out 2>&1); then
    echo "FAILED   $1: violated no invariant in $seeds seeds"
    failed=1
  elif grep -q "^  $2: " "$copy/out"; then
    echo "found    $1: $(grep -c "^  $2: " "$copy/out") violations of \"$2\""
  else
    echo "FAILED   $1: violated another invariant than \"$2\""
    grep '^  [a-z ]*: ' "$copy/out" | head -n 5
    failed=1
  fi
  rm -rf "$copy"
}

twin "reservations are retried like any other request" "at most once" \
  internal/gateway/single.go 's/!\(r.route.Idempotent \&\& r.request.soleGatherer\(\)\)/!r.request.soleGatherer()/'
twin "a request that may have run is reported as not run" "refused as not run" \
  internal/gateway/single.go 's/case run.sends.outcome\(\).NotRun\(\):/case run.sends.outcome().NotRun() || run.lastFailure.outcome == outcome.Unknown:/'
twin "a truncated answer is accepted as complete" "whole and true answer" \
  internal/targetconn/conn.go 's/_, err := io.ReadFull\(resp.Body, body\)/_, err := io.ReadFull(resp.Body, body); err = nil/'
twin "a stop does not wait for requests" "a planned stop cuts off nothing" \
  internal/gatewayhost/servers.go 's/l.server.Shutdown\(ctx\); err != nil/l.server.Close(); err != nil/'
twin "a leaving target still gets requests" "a leaving target gets no new work" \
  internal/gateway/service.go 's/t.draining = conf.Draining \|\| t.evacuated/t.draining = t.evacuated/'

twin "a request that crashes its targets is retried on others" "a request that ends its targets is kept from them" \
  internal/gateway/trial.go 's/return !g.quarantineTable.Empty\(\) \&\& /return false \&\& /'
twin "one unreadable entry fails the whole list or watch" "a leaving target gets no new work" \
  platform/registry.go 's/list.Unusable = append\(.*$/return discovery.TargetList{}, err/; s/gone := discovery.TargetChange\{.*$/return discovery.TargetChanges{}, err\n\t\t\tvar gone discovery.TargetChange/'
twin "a host that has just listed the registry sends peers no earlier removals" "a leaving target gets no new work" \
  internal/discovery/state.go 's/s.history.reset\(l.Revision\)$/s.history.add(l.Revision, changes)/'

twin "hosts order cached state by revision number without the era" "in force within the bound" \
  internal/revision/revision.go 's/return cmp.Or\(cmp.Compare\(r.Era, other.Era\), (.*)\)$/return \1/' --restores
twin "entries of removed targets from an older copy of the store are accepted" "a leaving target gets no new work" \
  internal/discovery/tombstone.go 's/entry, ok := s.tombstones.match\(t, at, asOf\)/entry, ok := tombstone{}, false/' --restores

exit $failed
