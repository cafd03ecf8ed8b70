package host

import (
	"context"
	"errors"

	"rhubarbwood.example/rhubarbwood/internal/api"
)

// noStatements stands in for the executor of statements until it is wired.
type noStatements struct{}

func (noStatements) Execute(context.Context, string, string, bool) (api.Result, error) {
	return api.Result{}, errors.New("statements are not available yet")
}
