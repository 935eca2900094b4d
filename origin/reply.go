package origin

import "slices"

// Reply is what an asked VM says of the origin of a stream.
type Reply struct {
	// Region is that of the VM; Answered is false if it did not answer in time.
	Region   string
	Answered bool
	// Origin is that of the stream, Known is set if the VM has a record of it or knows of one
	// version only.
	Origin Origin
	Known  bool
	// Versions are those that the service has had since the stream began at the earliest, as
	// far as the VM knows.
	Versions []string
}

// Confirms reports whether replies confirm that a service has had one version only: all that
// were asked in some region answered, and nobody knows of another version.
func Confirms(replies []Reply, version string) bool {
	isOther := func(v string) bool { return v != version }
	whole := make(map[string]bool)
	for _, r := range replies {
		if slices.ContainsFunc(r.Versions, isOther) {
			return false
		}
		isWhole, asked := whole[r.Region]
		whole[r.Region] = r.Answered && (isWhole || !asked)
	}
	for _, isWhole := range whole {
		if isWhole {
			return true
		}
	}
	return false
}
