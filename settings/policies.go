package settings

// Valid values of enumerated settings. The first policy of each kind is the default and
// the others are baselines for comparison.
var (
	LogFormats        = []string{"text", "json"}
	LogLevels         = []string{"debug", "info", "warn", "error"}
	RoutingPolicies   = []string{"affinity", "round_robin", "least_in_flight"}
	AdmissionPolicies = []string{"backfill", "priority", "fifo"}
	BorrowingPolicies = []string{"surplus", "never", "always"}
	LimitsPolicies    = []string{"share", "static_split", "local_bucket"}
)
