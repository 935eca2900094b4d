package call

import (
	"testing"

	"gotest.tools/v3/assert"
)

func promptCall(workspace, body string, parts ...uint64) *Call {
	c := &Call{
		Workspace: workspace,
		Body:      []byte(body),
		Routed:    &Routed{},
	}
	for _, id := range parts {
		c.Routed.PromptParts = append(c.Routed.PromptParts, PromptPart{
			ID: id,
		})
	}
	c.SetSubjects()
	return c
}

// TestSubjects checks that calls share the subjects of all parts but the last, at any place of
// the prompt, within one workspace.
func TestSubjects(t *testing.T) {
	first := promptCall("w", "one", 1, 2, 3)
	assert.Equal(t, len(first.Subjects), 3)
	assert.Assert(t, !first.Subjects[0].IsPart() && first.Subjects[1].IsPart())
	other := promptCall("w", "two", 9, 2, 1, 4)
	assert.Assert(t, first.Subjects[0] != other.Subjects[0])
	assert.Equal(t, first.Subjects[1], other.Subjects[3])
	assert.Equal(t, first.Subjects[2], other.Subjects[2])
	assert.Assert(t, promptCall("x", "one", 1, 2, 3).Subjects[1] != first.Subjects[1])
	assert.Equal(t, len(promptCall("w", "one", 1).Subjects), 1)
	assert.Equal(t, len(promptCall("w", "one").Subjects), 1)
}

// TestSubjectsOfChat guards against chats of which no two are alike, and whose common first
// message crashes their endpoints.
func TestSubjectsOfChat(t *testing.T) {
	chat := func(workspace, body string, prefix uint64) *Call {
		c := &Call{
			Kind:       KindChat,
			Workspace:  workspace,
			Body:       []byte(body),
			PrefixHash: prefix,
		}
		c.SetSubjects()
		return c
	}
	first, other := chat("w", "one", 7), chat("w", "two", 7)
	assert.Equal(t, len(first.Subjects), 2)
	assert.Assert(t, first.Subjects[0] != other.Subjects[0])
	assert.Assert(t, first.Subjects[1].IsPart())
	assert.Equal(t, first.Subjects[1], other.Subjects[1])
	assert.Assert(t, chat("x", "one", 7).Subjects[1] != first.Subjects[1])
	assert.Equal(t, len(chat("w", "one", 0).Subjects), 1)
}

// BenchmarkSetSubjects measures a call with a prompt of five parts.
func BenchmarkSetSubjects(b *testing.B) {
	c := promptCall("workspace", "a body", 1, 2, 3, 4, 5)
	b.ReportAllocs()
	for b.Loop() {
		c.SetSubjects()
	}
}
