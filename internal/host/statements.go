package host

import (
	"context"

	"rhubarbwood.example/rhubarbwood/internal/api"
	"rhubarbwood.example/rhubarbwood/internal/catalog"
	"rhubarbwood.example/rhubarbwood/internal/claim"
	"rhubarbwood.example/rhubarbwood/internal/delivery"
	"rhubarbwood.example/rhubarbwood/internal/kernel"
	"rhubarbwood.example/rhubarbwood/internal/member"
	"rhubarbwood.example/rhubarbwood/internal/objstore"
	"rhubarbwood.example/rhubarbwood/internal/operate"
	"rhubarbwood.example/rhubarbwood/internal/query"
	"rhubarbwood.example/rhubarbwood/internal/relay"
)

func (h *Host) newOperators(f kernel.Finder) (kernel.Module, error) {
	l := kernel.Lookup{Finder: f}
	store := kernel.FindIn[objstore.Store](&l, modPlatform)
	members := kernel.FindIn[member.View](&l, modMembers)
	cat := kernel.FindIn[*catalog.Catalog](&l, modCatalog)
	claims := kernel.FindIn[*claim.Claims](&l, modClaims)
	targets := kernel.FindIn[*relay.Relay](&l, modRelay)
	if l.Err != nil {
		return nil, l.Err
	}
	exec := operate.New(operate.Dependencies{
		Members: members,
		Store:   store,
		Catalog: cat,
		Editor:  catalog.NewEditor(cat),
		Reports: delivery.NewReporter(h.settings.Delivery, store, members, h.log),
		Claims:  claims,
		Relay:   relayTargets{targets},

		Objectives: objectivesOf(cat),
	})
	s := api.NewOperatorServer(h.settings.API, h.settings.Addresses.Operators, h.operators(), statementExecutor{exec}, h, h.metrics, h.log)
	s.UseListener(h.listeners.operators)
	return s, nil
}

// objectivesOf returns a function that returns the objectives of the services of
// the current configuration.
func objectivesOf(services catalog.View) func() []delivery.Objective {
	return func() []delivery.Objective { return delivery.Objectives(services.Services()) }
}

func (h *Host) operators() []api.Operator {
	operators := make([]api.Operator, len(h.settings.Operators))
	for i, o := range h.settings.Operators {
		operators[i] = api.Operator{Name: o.Name, Token: o.Token.Reveal()}
	}
	return operators
}

// statementExecutor adapts operate.Executor to api.Executor.
type statementExecutor struct{ executor *operate.Executor }

// Execute parses and runs a statement.
func (s statementExecutor) Execute(ctx context.Context, operator, statement string, dryRun bool) (api.Result, error) {
	t, err := s.executor.ExecuteText(ctx, operator, statement, dryRun)
	if err != nil {
		return api.Result{}, err
	}
	return api.Result{Columns: t.Columns, Rows: t.Rows, Message: t.Message}, nil
}

// relayTargets adapts the relay to the executor's source of target states.
type relayTargets struct{ relay *relay.Relay }

// TargetStates returns the states of the targets that this host is the relay of.
func (s relayTargets) TargetStates() []operate.RelayedTarget {
	var relayed []operate.RelayedTarget
	for _, t := range s.relay.Targets() {
		if !t.Relayed {
			continue
		}
		relayed = append(relayed, operate.RelayedTarget{
			Service:     t.Service,
			ID:          t.ID,
			State:       string(t.State),
			InFlight:    t.InFlight,
			Limit:       int(t.Limit),
			Connections: int(t.Connections),
			Attempts:    t.Attempts,
			Sheds:       t.Shed,
			Errors:      t.Errors,
			LastReason:  query.Reason(t.Reason),
		})
	}
	return relayed
}
