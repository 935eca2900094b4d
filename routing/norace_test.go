//go:build !race

package routing_test

// maxMemorySeeds bounds the seeds of a row of TestEngineMemory.
const maxMemorySeeds = 40
