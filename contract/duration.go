package contract

import "github.com/fuchsianotch/fuchsianotch/common/jsonc"

// Duration is a duration written as a string such as "580ms" in documents.
type Duration = jsonc.Duration
