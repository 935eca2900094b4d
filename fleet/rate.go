package fleet

// Rate is what an endpoint says, with an answer, of the requests that it takes from all
// VMs together.
type Rate struct {
	// Named says that there is a limit, and Unreadable that what stood in its place was
	// none. Neither is set where the answer names no limit.
	Named      bool
	Unreadable bool
	// PerSecond is how many requests a second the endpoint takes, zero or more.
	PerSecond float64
}
