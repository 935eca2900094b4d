//go:build race

package emulator

// slower divides the schedules of a run with the race detector, which takes ten
// times as long.
const slower = 10
