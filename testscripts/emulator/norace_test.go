//go:build !race

package emulator

// raceDivisor divides the number of seeds.
const raceDivisor = 1

// maxVMs bounds the simulated fleets.
const maxVMs = 300

// maxPartVMs bounds the fleets whose requests have prompts.
const maxPartVMs = 90
