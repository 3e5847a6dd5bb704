package factory

import (
	"context"

	"github.com/pkg/errors"

	"github.com/hibiscuspulley/hibiscuspulley/pkg/operator"
)

// ReadConfiguration returns a client and the configuration in force at its
// entry.
func (f *Factory) ReadConfiguration(ctx context.Context) (*operator.Client, operator.Configuration, error) {
	client, err := f.Operator()
	if err != nil {
		return nil, operator.Configuration{}, err
	}
	configuration, err := client.Configuration(ctx)
	return client, configuration, err
}

// Entities returns the latest change of each existing entity of a kind.
func Entities(c operator.Configuration, kind operator.Kind) []operator.Change {
	var list []operator.Change
	for _, change := range c.Changes {
		if change.Kind == kind && !change.Deleted {
			list = append(list, change)
		}
	}
	return list
}

// Entity returns the latest change of the named entity. It fails if the entity
// does not exist.
func Entity(c operator.Configuration, kind operator.Kind, name string) (operator.Change, error) {
	for _, change := range Entities(c, kind) {
		if change.Name == name {
			return change, nil
		}
	}
	return operator.Change{}, errors.Errorf("there is no %s %q; see hibiscuspulley %s list", kind, name, kind)
}

// Action runs a command's function with a context that is cancelled on an
// interrupt.
func (f *Factory) Action(run func(ctx context.Context) error) error {
	ctx, cancel := f.Context()
	defer cancel()
	return run(ctx)
}
