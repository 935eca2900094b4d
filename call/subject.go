package call

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Subject is what the crash of an endpoint may be due to, as a hash: the content of a call,
// or a part of its prompt, which calls of other contents share. Zero means none.
type Subject uint64

// partBit tells the subjects of parts from those of contents.
const partBit Subject = 1 << 63

// subjectBase is the numeric base of subjects in text.
const subjectBase = 16

// IsPart reports whether the subject is a part of prompts.
func (s Subject) IsPart() bool {
	return s&partBit != 0
}

// String returns the form in log lines.
func (s Subject) String() string {
	return strconv.FormatUint(uint64(s), subjectBase)
}

// PartSubject returns the subject of a prompt's part. It is the same on all routes, as the
// part is what endpoints read; workspaces are told apart, so that none can have a part of
// another one quarantined.
func PartSubject(workspace string, id uint64) Subject {
	var d xxhash.Digest
	d.Reset()
	var bytes [8]byte
	for i := range bytes {
		bytes[i] = byte(id >> (8 * i))
	}
	// Writing to a Digest never fails.
	_, _ = d.WriteString(workspace)
	_, _ = d.Write(contentSeparator)
	_, _ = d.Write(bytes[:])
	return Subject(d.Sum64()) | partBit
}

// inlineSubjects is the number of subjects that need no allocation.
const inlineSubjects = 8

// SetSubjects sets Subjects from the call's content and prompt. Of a chat the first message is
// the part that others may share.
func (c *Call) SetSubjects() {
	c.Subjects = append(c.subjectStore[:0], c.ContentHash())
	if c.Kind == KindChat && c.PrefixHash != 0 {
		c.Subjects = append(c.Subjects, PartSubject(c.Workspace, c.PrefixHash))
	}
	if c.Routed == nil {
		return
	}
	for _, p := range c.Routed.SharedParts() {
		c.Subjects = append(c.Subjects, PartSubject(c.Workspace, p.ID))
	}
}
