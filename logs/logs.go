// Package logs writes structured logs without blocking requests: lines go into a
// bounded buffer that one goroutine drains. When the buffer is full, lines are
// dropped, and the number of dropped lines is logged.
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
	// DefaultBufferLines holds about two seconds of the log of a small VM under
	// full load, some 1.2 MB.
	DefaultBufferLines = 4096
	// dropReportInterval is the minimum interval between reports of dropped lines.
	dropReportInterval = time.Second
)

// Options configure a Writer.
type Options struct {
	// Output is the destination, for example standard output.
	Output io.Writer
	// BufferLines is the buffer's capacity in lines; zero means DefaultBufferLines.
	BufferLines int
	// Level is the minimum level that is written.
	Level slog.Leveler
}

// Writer buffers log lines and writes them from one goroutine.
type Writer struct {
	output  io.Writer
	lines   chan []byte
	dropped atomic.Int64
	logger  *slog.Logger
	done    chan struct{}
	close   sync.Once
}

// New returns a Writer and starts its goroutine; Close stops it.
func New(o Options) *Writer {
	if o.BufferLines <= 0 {
		o.BufferLines = DefaultBufferLines
	}
	w := &Writer{
		output: o.Output,
		lines:  make(chan []byte, o.BufferLines),
		done:   make(chan struct{}),
	}
	w.logger = slog.New(slog.NewJSONHandler(bufferWriter{writer: w}, &slog.HandlerOptions{
		Level: o.Level,
	}))
	go w.run()
	return w
}

// Logger returns a logger that writes to the buffer.
func (w *Writer) Logger() *slog.Logger {
	return w.logger
}

// Dropped returns the number of lines dropped so far.
func (w *Writer) Dropped() int64 {
	return w.dropped.Load()
}

// Close writes the buffered lines and stops the writer. It returns early if ctx
// is done. Lines logged afterwards are dropped.
func (w *Writer) Close(ctx context.Context) {
	w.close.Do(func() { close(w.lines) })
	select {
	case <-w.done:
	case <-ctx.Done():
	}
}

// bufferWriter is the io.Writer of the slog handler, which writes one line per call.
type bufferWriter struct {
	writer *Writer
}

// Write appends a copy of the line to the buffer or drops it. It never blocks.
func (b bufferWriter) Write(line []byte) (n int, err error) {
	defer func() {
		if recover() != nil {
			// The channel was closed concurrently.
			b.writer.dropped.Add(1)
		}
	}()
	select {
	case b.writer.lines <- bytes.Clone(line):
	default:
		b.writer.dropped.Add(1)
	}
	return len(line), nil
}

// run writes the buffered lines and reports dropped ones periodically.
func (w *Writer) run() {
	defer close(w.done)
	// Dropped lines are reported directly, as the buffer may be full or closed.
	direct := slog.New(slog.NewJSONHandler(w.output, nil))
	var reported int64
	var nextReport time.Time
	for line := range w.lines {
		// A failed write is ignored, as it could not be logged either.
		_, _ = w.output.Write(line)
		if now := time.Now(); now.After(nextReport) {
			reported = w.reportDropped(direct, reported)
			nextReport = now.Add(dropReportInterval)
		}
	}
	w.reportDropped(direct, reported)
}

// reportDropped logs how many lines were dropped since the last time.
func (w *Writer) reportDropped(direct *slog.Logger, reported int64) int64 {
	dropped := w.dropped.Load()
	if dropped != reported {
		direct.Warn("lines_dropped", "lines", dropped-reported)
	}
	return dropped
}
