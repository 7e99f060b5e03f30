package wire

// InstanceTypeList is the cloud's catalogue of instance types.
type InstanceTypeList struct {
	Types []InstanceType `json:"flavors"`
}

// InstanceType is one entry of the catalogue.
type InstanceType struct {
	Name                 string   `json:"label"`
	CPUs                 float64  `json:"cores"`
	GPUs                 float64  `json:"accelerators"`
	MemoryGB             float64  `json:"ram_gb"`
	DiskGB               float64  `json:"local_gb"`
	ImagePullGBPerSecond float64  `json:"pull_gb_per_s"`
	PricePerHour         float64  `json:"rate"`
	SpotPricePerHour     float64  `json:"spot_price"`
	BootSeconds          float64  `json:"ready_s"`
	Zones                []string `json:"locales"`
}

// ScaleOutRequest requests instances from the cloud. It is idempotent: repeating a granted
// request with the same ID rents no further instances.
type ScaleOutRequest struct {
	RequestID    string `json:"ask"`
	InstanceType string `json:"flavor"`
	Zone         string `json:"locale"`
	Spot         bool   `json:"loaners"`
	Count        int    `json:"how_many"`
}

// InstanceNames is the response to a ScaleOutRequest, and the body of a release request.
type InstanceNames struct {
	Names []string `json:"hosts"`
}

// InstancePage is a page of the cloud's list of instances, ordered by name.
type InstancePage struct {
	Instances []Instance `json:"hosts"`
	More      bool       `json:"more"`
}

// Instance is a rented machine in the cloud's list.
type Instance struct {
	Name         string  `json:"ref"`
	Address      string  `json:"address"`
	InstanceType string  `json:"flavor"`
	Zone         string  `json:"locale"`
	Spot         bool    `json:"loaners"`
	Phase        string  `json:"phase"`
	AgeSeconds   float64 `json:"held_s"` // since the request, at the time that the list describes
}

// Phases of an instance.
const (
	InstanceStarting = "starting"
	InstanceRunning  = "running"
	InstanceFailed   = "failed"
)
