// Package logs writes structured lines without ever making a request wait: a
// line is put into a bounded ring, from which one goroutine writes. When the
// ring is full, lines are dropped and counted, and the count is logged.
package logs

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// DefaultLines is the ring's length: about two seconds of the lines of a small
	// VM under full load, at some 300 bytes each.
	DefaultLines = 4096
	// dropEvery is how often the number of dropped lines is logged at most.
	dropEvery = time.Second
)

// Options set up a Writer.
type Options struct {
	// To is where the lines go, for example standard output.
	To io.Writer
	// Lines is the ring's length; zero means DefaultLines.
	Lines int
	// Level is the least level that is written.
	Level slog.Leveler
}

// Writer is the ring with its goroutine.
type Writer struct {
	to      io.Writer
	lines   chan []byte
	dropped atomic.Int64
	logger  *slog.Logger
	done    chan struct{}
	close   sync.Once
}

// New starts a writer.
func New(o Options) *Writer {
	if o.Lines <= 0 {
		o.Lines = DefaultLines
	}
	w := &Writer{
		to:    o.To,
		lines: make(chan []byte, o.Lines),
		done:  make(chan struct{}),
	}
	w.logger = slog.New(slog.NewJSONHandler(ring{writer: w}, &slog.HandlerOptions{
		Level: o.Level,
	}))
	go w.run()
	return w
}

// Logger returns the logger whose lines go through the ring.
func (w *Writer) Logger() *slog.Logger {
	return w.logger
}

// Dropped is how many lines were dropped so far.
func (w *Writer) Dropped() int64 {
	return w.dropped.Load()
}

// Close writes what the ring holds, for as long as ctx allows.
func (w *Writer) Close(ctx context.Context) {
	w.close.Do(func() { close(w.lines) })
	select {
	case <-w.done:
	case <-ctx.Done():
	}
}

// ring is the io.Writer that the handler writes whole lines to.
type ring struct {
	writer *Writer
}

// Write puts a line into the ring, or drops it. It never waits.
func (r ring) Write(line []byte) (n int, err error) {
	defer func() {
		if recover() != nil {
			// The writer was closed meanwhile.
			r.writer.dropped.Add(1)
		}
	}()
	select {
	case r.writer.lines <- bytes.Clone(line):
	default:
		r.writer.dropped.Add(1)
	}
	return len(line), nil
}

// run writes line after line, and now and then how many were dropped.
func (w *Writer) run() {
	defer close(w.done)
	// The count does not go through the ring, which may be full or closed.
	direct := slog.New(slog.NewJSONHandler(w.to, nil))
	var told int64
	var tellAt time.Time
	for line := range w.lines {
		// There is nowhere to report that standard output is gone.
		_, _ = w.to.Write(line)
		if now := time.Now(); now.After(tellAt) {
			told = w.tell(direct, told)
			tellAt = now.Add(dropEvery)
		}
	}
	w.tell(direct, told)
}

// tell logs how many lines were dropped since the last time.
func (w *Writer) tell(direct *slog.Logger, told int64) int64 {
	dropped := w.dropped.Load()
	if dropped != told {
		direct.Warn("lines_dropped", "lines", dropped-told)
	}
	return dropped
}
