package fleet

import (
	"context"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"rillflow/internal/state"
	"rillflow/internal/wire"
)

// Catalogue keeps the machine types at hand.
type Catalogue struct {
	cloud *Cloud
	every time.Duration
	log   *slog.Logger
	types atomic.Pointer[map[string]*wire.InstanceType]
}

// NewCatalogue makes a catalogue that is read again at the interval given.
func NewCatalogue(cloud *Cloud, every time.Duration, log *slog.Logger) *Catalogue {
	return &Catalogue{cloud: cloud, every: every, log: log}
}

// Types are the machine types by label, or nil while they are not known.
func (c *Catalogue) Types() map[string]*wire.InstanceType {
	if m := c.types.Load(); m != nil {
		return *m
	}
	return nil
}

// Zones are all in which some type can be rented, by name.
func (c *Catalogue) Zones() []string {
	var out []string
	for _, t := range c.Types() {
		out = append(out, t.Zones...)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// Set takes in the machine types.
func (c *Catalogue) Set(ts []wire.InstanceType) {
	m := make(map[string]*wire.InstanceType, len(ts))
	for i := range ts {
		m[ts[i].Name] = &ts[i]
	}
	c.types.Store(&m)
}

// Run reads the catalogue until ctx ends.
func (c *Catalogue) Run(ctx context.Context) error {
	for try := 0; ctx.Err() == nil; {
		ts, err := c.cloud.Types(ctx)
		if err != nil || len(ts) == 0 {
			c.log.Debug("machine types", "err", err)
			state.Backoff(ctx, try, c.every/64, c.every/8)
			try++
			continue
		}
		try = 0
		c.Set(ts)
		t := time.NewTimer(c.every)
		select {
		case <-ctx.Done():
		case <-t.C:
		}
		t.Stop()
	}
	return ctx.Err()
}
