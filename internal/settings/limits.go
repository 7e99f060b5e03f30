package settings

// State are the limits of the key-value store.
type State struct {
	RPS      float64 `toml:"rps" validate:"gt=0"`
	WriteRPS float64 `toml:"write_rps" validate:"gt=0"`
	ValueKB  float64 `toml:"value_kb" validate:"gte=1"`
	TxnOps   int     `toml:"txn_ops" validate:"gte=4"`
	// Next are limits that the store will have from some moment on, without
	// notice; nil if none are announced. A figure left out stays as it is.
	Next *NextState `toml:"next"`
}

// NextState are announced limits.
type NextState struct {
	RPS      float64 `toml:"rps" validate:"omitempty,gt=0"`
	WriteRPS float64 `toml:"write_rps" validate:"omitempty,gt=0"`
	ValueKB  float64 `toml:"value_kb" validate:"omitempty,gte=1"`
	TxnOps   int     `toml:"txn_ops" validate:"omitempty,gte=4"`
}

// Least returns the limits that hold whether or not the announced ones are in force yet.
func (s State) Least() State {
	out := s
	out.Next = nil
	if n := s.Next; n != nil {
		lower(&out.RPS, n.RPS)
		lower(&out.WriteRPS, n.WriteRPS)
		lower(&out.ValueKB, n.ValueKB)
		lower(&out.TxnOps, n.TxnOps)
	}
	return out
}

// lower takes the smaller of two limits; 0 is none.
func lower[T int | float64](limit *T, to T) {
	if to > 0 {
		*limit = min(*limit, to)
	}
}

// Cloud are the limits of the cloud's API.
type Cloud struct {
	RPS      float64 `toml:"rps" validate:"gt=0"`
	ListLagS float64 `toml:"list_lag_s" validate:"gte=0"`
}

// Resources are what one controller's process may use.
type Resources struct {
	CPUShare float64 `toml:"cpu_share" validate:"gt=0,lte=1e6"`
	MemoryMB float64 `toml:"memory_mb" validate:"gt=0,lte=1e9"`
	Sockets  int     `toml:"sockets" validate:"gte=16"`
}
