package emulator

import (
	"os"
	"runtime/debug"
	"testing"
)

const (
	// gcPercent lets the heap grow to several times what is in use, as the runs allocate much
	// that lives for a moment. maxHeapBytes bounds the growth.
	gcPercent    = 400
	maxHeapBytes = 2 << 30
)

func TestMain(m *testing.M) {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(maxHeapBytes)
	os.Exit(m.Run())
}
