//go:build !race

package emulator

// slower divides the schedules of a run with the race detector only.
const slower = 1

// mostVMs bounds the fleets that are played.
const mostVMs = 300
