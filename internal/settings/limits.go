package settings

// StoreLimits are the limits of the key-value store.
type StoreLimits struct {
	RPS      float64 `toml:"rps" validate:"gt=0"`
	WriteRPS float64 `toml:"write_rps" validate:"gt=0"`
	ValueKB  float64 `toml:"value_kb" validate:"gte=1"`
	TxnOps   int     `toml:"txn_ops" validate:"gte=4"`
	// Announced are limits that come into force at an unknown time, without further
	// notice; nil if none are announced. A limit that is left out (0) doesn't change.
	Announced *AnnouncedStoreLimits `toml:"next"`
}

// AnnouncedStoreLimits are future limits of the store; 0 leaves a limit as it is.
type AnnouncedStoreLimits struct {
	RPS      float64 `toml:"rps" validate:"omitempty,gt=0"`
	WriteRPS float64 `toml:"write_rps" validate:"omitempty,gt=0"`
	ValueKB  float64 `toml:"value_kb" validate:"omitempty,gte=1"`
	TxnOps   int     `toml:"txn_ops" validate:"omitempty,gte=4"`
}

// Lowest returns the lower of each current and announced limit, which is safe both before
// and after the announced ones come into force.
func (limits StoreLimits) Lowest() StoreLimits {
	lowest := limits
	lowest.Announced = nil
	if announced := limits.Announced; announced != nil {
		lowerLimit(&lowest.RPS, announced.RPS)
		lowerLimit(&lowest.WriteRPS, announced.WriteRPS)
		lowerLimit(&lowest.ValueKB, announced.ValueKB)
		lowerLimit(&lowest.TxnOps, announced.TxnOps)
	}
	return lowest
}

// lowerLimit lowers a limit to an announced one, if that is set and smaller.
func lowerLimit[T int | float64](limit *T, announced T) {
	if announced > 0 {
		*limit = min(*limit, announced)
	}
}

// CloudLimits are the limits of the cloud's API.
type CloudLimits struct {
	RPS            float64 `toml:"rps" validate:"gt=0"`
	ListLagSeconds float64 `toml:"list_lag_s" validate:"gte=0"`
}

// ProcessLimits are the resource limits of one controller's process.
type ProcessLimits struct {
	CPUShare float64 `toml:"cpu_share" validate:"gt=0,lte=1e6"`
	MemoryMB float64 `toml:"memory_mb" validate:"gt=0,lte=1e9"`
	Sockets  int     `toml:"sockets" validate:"gte=16"`
}
