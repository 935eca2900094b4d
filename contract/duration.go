package contract

import "github.com/fuchsianotch/fuchsianotch/common/jsonc"

// Duration is encoded as a string such as "580ms".
type Duration = jsonc.Duration
