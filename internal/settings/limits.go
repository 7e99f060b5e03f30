package settings

// StoreLimits are the limits of the key-value store.
type StoreLimits struct {
	RPS      float64 `toml:"rps" validate:"gt=0"`
	WriteRPS float64 `toml:"write_rps" validate:"gt=0"`
	ValueKB  float64 `toml:"value_kb" validate:"gte=1"`
	TxnOps   int     `toml:"txn_ops" validate:"gte=4"`
	// Announced are limits that the store will have from some moment on, without
	// notice; nil if none are announced. A figure left out stays as it is.
	Announced *AnnouncedStoreLimits `toml:"next"`
}

// AnnouncedStoreLimits are announced limits.
type AnnouncedStoreLimits struct {
	RPS      float64 `toml:"rps" validate:"omitempty,gt=0"`
	WriteRPS float64 `toml:"write_rps" validate:"omitempty,gt=0"`
	ValueKB  float64 `toml:"value_kb" validate:"omitempty,gte=1"`
	TxnOps   int     `toml:"txn_ops" validate:"omitempty,gte=4"`
}

// Lowest returns the limits that hold whether or not the announced ones are in force yet.
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

// lowerLimit takes the smaller of two limits; 0 is none.
func lowerLimit[T int | float64](limit *T, to T) {
	if to > 0 {
		*limit = min(*limit, to)
	}
}

// CloudLimits are the limits of the cloud's API.
type CloudLimits struct {
	RPS            float64 `toml:"rps" validate:"gt=0"`
	ListLagSeconds float64 `toml:"list_lag_s" validate:"gte=0"`
}

// ProcessLimits are what one controller's process may use.
type ProcessLimits struct {
	CPUShare float64 `toml:"cpu_share" validate:"gt=0,lte=1e6"`
	MemoryMB float64 `toml:"memory_mb" validate:"gt=0,lte=1e9"`
	Sockets  int     `toml:"sockets" validate:"gte=16"`
}
