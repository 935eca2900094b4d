//go:build race

package emulator

// slower divides the schedules of a run with the race detector, which takes some
// ten times as long on a machine that does other work too.
const slower = 20

// mostVMs bounds the fleets that are played: 300 VMs would take minutes.
const mostVMs = 90
