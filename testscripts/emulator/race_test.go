//go:build race

package emulator

// raceDivisor divides the number of seeds, as the race detector slows runs down about
// tenfold.
const raceDivisor = 20

// maxVMs bounds the simulated fleets; larger ones take minutes with the race detector.
const maxVMs = 90

// maxPartVMs bounds the fleets whose requests have prompts.
const maxPartVMs = 9
