package fleet

// VersionPin restricts a call to endpoints of one software version. The zero value allows all.
type VersionPin struct {
	Set     bool
	Version string
}

// PinTo returns a pin to a version.
func PinTo(version string) VersionPin {
	return VersionPin{
		Set:     true,
		Version: version,
	}
}

// Allows reports whether an endpoint may serve the call.
func (p VersionPin) Allows(e Endpoint) bool {
	return !p.Set || e.SoftwareVersion == p.Version
}
