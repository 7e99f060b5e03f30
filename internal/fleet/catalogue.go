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

// Shares of the refresh interval that bound the pause after a failed reading of the catalogue.
const (
	retryBaseShare  = 64
	retryLimitShare = 8
)

// Catalogue is the cloud's instance types as last read. It is safe for concurrent use.
type Catalogue struct {
	cloud           *CloudClient
	refreshInterval time.Duration
	log             *slog.Logger
	types           atomic.Pointer[map[string]*wire.InstanceType]
}

// NewCatalogue returns an empty catalogue that Run reads again at the interval.
func NewCatalogue(cloud *CloudClient, refreshInterval time.Duration, log *slog.Logger) *Catalogue {
	return &Catalogue{cloud: cloud, refreshInterval: refreshInterval, log: log}
}

// InstanceTypes are the instance types by name, or nil while they are not known. The map must not
// be changed.
func (c *Catalogue) InstanceTypes() map[string]*wire.InstanceType {
	if types := c.types.Load(); types != nil {
		return *types
	}
	return nil
}

// Zones are all zones in which some type can be rented, sorted.
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

// Run reads the catalogue at its interval until ctx ends. It keeps the last one while the cloud
// does not answer.
func (c *Catalogue) Run(ctx context.Context) error {
	for attempt := 0; ctx.Err() == nil; {
		types, err := c.cloud.InstanceTypes(ctx)
		if err != nil || len(types) == 0 {
			c.log.Debug("list instance types failed", "err", err)
			retry.Backoff(ctx, attempt, c.refreshInterval/retryBaseShare, c.refreshInterval/retryLimitShare)
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
