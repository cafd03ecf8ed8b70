#!/usr/bin/env bash
# Shows that the soak finds what it should: builds the program with one mechanism
# switched off at a time, in a temporary copy, and soaks it. Each of these broken
# twins must break its promise within a few seeds. Takes some minutes.
set -euo pipefail
cd "$(dirname "$0")/.."

seeds=${1:-12} # that each twin gets
failed=0

# twin NAME PROMISE FILE SED [FLAG...]: SED on FILE switches the mechanism off, FLAGs are those of the soak.
twin() {
  local copy
  copy=$(mktemp -d)
  git ls-files -z --cached --others --exclude-standard -- '*.go' go.mod go.sum | xargs -0 cp --parents -t "$copy"
  cp "$copy/$3" "$copy/before"
  sed -i -E "$4" "$copy/$3"
  if cmp -s "$copy/before" "$copy/$3"; then
    echo "FAILED   $1: $3 has no such line any more"
    failed=1
  elif ! (cd "$copy" && go build -o rhubarbwood ./cmd/rhubarbwood); then
    echo "FAILED   $1: does not build"
    failed=1
  elif (cd "$copy" && ./rhubarbwood soak --seeds "$seeds" --parallel 4 "${@:5}" >out 2>&1); then
    echo "FAILED   $1: kept every promise in $seeds seeds"
    failed=1
  elif grep -q "^  $2: " "$copy/out"; then
    echo "found    $1: $(grep -c "^  $2: " "$copy/out") times \"$2\" broken"
  else
    echo "FAILED   $1: broke something else than \"$2\""
    grep '^  [a-z ]*: ' "$copy/out" | head -n 5
    failed=1
  fi
  rm -rf "$copy"
}

twin "reservations are repeated like any other request" "at most once" \
  internal/gateway/single.go 's/!\(r.route.Idempotent \&\& r.request.soleGatherer\(\)\)/!r.request.soleGatherer()/'
twin "what may have run is told as not run" "refused as not run" \
  internal/gateway/single.go 's/case run.sends.outcome\(\).NotRun\(\):/case run.sends.outcome().NotRun() || run.lastFailure.outcome == outcome.Unknown:/'
twin "an answer that is cut is taken as whole" "whole and true answer" \
  internal/targetconn/conn.go 's/_, err := io.ReadFull\(resp.Body, body\)/_, err := io.ReadFull(resp.Body, body); err = nil/'
twin "a stop does not wait for requests" "a planned stop cuts off nothing" \
  internal/gatewayhost/servers.go 's/l.server.Shutdown\(ctx\); err != nil/l.server.Close(); err != nil/'
twin "a leaving target is asked on" "a leaving target gets no new work" \
  internal/gateway/service.go 's/t.draining = conf.Draining \|\| t.evacuated/t.draining = t.evacuated/'

twin "a request that ends its targets is sent on" "a request that ends its targets is kept from them" \
  internal/gateway/trial.go 's/return !g.quarantineTable.Empty\(\) \&\& /return false \&\& /'
twin "one foreign entry fails the whole list, or watch" "a leaving target gets no new work" \
  platform/registry.go 's/list.Unusable = append\(.*$/return discovery.TargetList{}, err/; s/gone := discovery.TargetChange\{.*$/return discovery.TargetChanges{}, err\n\t\t\tvar gone discovery.TargetChange/'
twin "a host that has just read the registry tells peers no removals from before" "a leaving target gets no new work" \
  internal/discovery/state.go 's/s.history.reset\(l.Revision\)$/s.history.add(l.Revision, changes)/'

twin "hosts order what they believe by revisions alone" "in force within the bound" \
  internal/revision/revision.go 's/return cmp.Or\(cmp.Compare\(r.Era, other.Era\), (.*)\)$/return \1/' --restores
twin "what an older copy has of targets that left is believed" "a leaving target gets no new work" \
  internal/discovery/tombstone.go 's/entry, ok := s.tombstones.match\(t, at, asOf\)/entry, ok := tombstone{}, false/' --restores

exit $failed
