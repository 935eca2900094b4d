//go:build !race

package emulator

// slower divides the schedules of a run with the race detector only.
const slower = 1
