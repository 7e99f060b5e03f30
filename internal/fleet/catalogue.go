package fleet

import (
	"context"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"rillflow/internal/kvstore"
	"rillflow/internal/wire"
)

// Catalogue keeps the machine types at hand.
type Catalogue struct {
	cloud           *CloudClient
	refreshInterval time.Duration
	log             *slog.Logger
	types           atomic.Pointer[map[string]*wire.InstanceType]
}

// NewCatalogue makes a catalogue that is read again at the interval given.
func NewCatalogue(cloud *CloudClient, refreshInterval time.Duration, log *slog.Logger) *Catalogue {
	return &Catalogue{cloud: cloud, refreshInterval: refreshInterval, log: log}
}

// InstanceTypes are the machine types by label, or nil while they are not known.
func (c *Catalogue) InstanceTypes() map[string]*wire.InstanceType {
	if types := c.types.Load(); types != nil {
		return *types
	}
	return nil
}

// Zones are all in which some type can be rented, by name.
func (c *Catalogue) Zones() []string {
	var zones []string
	for _, instanceType := range c.InstanceTypes() {
		zones = append(zones, instanceType.Zones...)
	}
	slices.Sort(zones)
	return slices.Compact(zones)
}

// Set takes in the machine types.
func (c *Catalogue) Set(types []wire.InstanceType) {
	byName := make(map[string]*wire.InstanceType, len(types))
	for i := range types {
		byName[types[i].Name] = &types[i]
	}
	c.types.Store(&byName)
}

// Run reads the catalogue until ctx ends.
func (c *Catalogue) Run(ctx context.Context) error {
	for attempt := 0; ctx.Err() == nil; {
		types, err := c.cloud.InstanceTypes(ctx)
		if err != nil || len(types) == 0 {
			c.log.Debug("machine types", "err", err)
			kvstore.Backoff(ctx, attempt, c.refreshInterval/64, c.refreshInterval/8)
			attempt++
			continue
		}
		attempt = 0
		c.Set(types)
		timer := time.NewTimer(c.refreshInterval)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
	return ctx.Err()
}
