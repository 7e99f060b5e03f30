package fleet

import (
	"context"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"rillflow/internal/retry"
	"rillflow/internal/wire"
)

// Divisors of the refresh interval that give the backoff after a failed read of the catalogue.
const (
	retryBaseDivisor  = 64
	retryLimitDivisor = 8
)

// Catalogue caches the cloud's instance types. It is safe for concurrent use.
type Catalogue struct {
	cloud           *CloudClient
	refreshInterval time.Duration
	log             *slog.Logger
	types           atomic.Pointer[map[string]*wire.InstanceType]
}

// NewCatalogue returns an empty catalogue, which Run reads anew once per refreshInterval.
func NewCatalogue(cloud *CloudClient, refreshInterval time.Duration, log *slog.Logger) *Catalogue {
	return &Catalogue{cloud: cloud, refreshInterval: refreshInterval, log: log}
}

// InstanceTypes returns the instance types by name, or nil before the first successful read. The
// map must not be changed.
func (c *Catalogue) InstanceTypes() map[string]*wire.InstanceType {
	if types := c.types.Load(); types != nil {
		return *types
	}
	return nil
}

// Zones returns the zones that offer at least one instance type, sorted.
func (c *Catalogue) Zones() []string {
	var zones []string
	for _, instanceType := range c.InstanceTypes() {
		zones = append(zones, instanceType.Zones...)
	}
	slices.Sort(zones)
	return slices.Compact(zones)
}

// Set replaces the instance types.
func (c *Catalogue) Set(types []wire.InstanceType) {
	byName := make(map[string]*wire.InstanceType, len(types))
	for i := range types {
		byName[types[i].Name] = &types[i]
	}
	c.types.Store(&byName)
}

// Run reads the catalogue once per refresh interval until ctx ends. The instance types read last
// are kept while the cloud does not answer.
func (c *Catalogue) Run(ctx context.Context) error {
	for attempt := 0; ctx.Err() == nil; {
		types, err := c.cloud.InstanceTypes(ctx)
		if err != nil || len(types) == 0 {
			c.log.Debug("list instance types failed", "err", err)
			retry.Backoff(ctx, attempt, c.refreshInterval/retryBaseDivisor, c.refreshInterval/retryLimitDivisor)
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
