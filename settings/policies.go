package settings

// The values that settings of a fixed set may have. The first is the default;
// in the lists of policies it is the decision, and the rest are baselines.
var (
	LogFormats        = []string{"text", "json"}
	LogLevels         = []string{"debug", "info", "warn", "error"}
	RoutingPolicies   = []string{"affinity", "round_robin", "least_in_flight"}
	AdmissionPolicies = []string{"backfill", "priority", "fifo"}
	BorrowingPolicies = []string{"surplus", "never", "always"}
	LimitsPolicies    = []string{"share", "static_split", "local_bucket"}
)
