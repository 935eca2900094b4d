//go:build race

package routing_test

// maxMemorySeeds bounds the seeds of a row of TestEngineMemory, which the race detector slows down.
const maxMemorySeeds = 3
