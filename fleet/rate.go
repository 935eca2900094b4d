package fleet

// Rate is the request rate that an endpoint accepts from all VMs together, as stated in
// an answer.
type Rate struct {
	// Named reports that the answer states a limit, and Unreadable that it states an
	// invalid one. Neither is set if the answer states no limit.
	Named      bool
	Unreadable bool
	// PerSecond is the number of requests per second, zero or more.
	PerSecond float64
}
