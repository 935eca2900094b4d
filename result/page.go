package result

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
)

const pageHead = `# Result codes

Every outcome that the system reports has a number and a class. Callers find
both in the headers ` + "`Fuchsianotch-Result` and `Fuchsianotch-Class`" + ` and in the body
of an error; the time line and the metrics have the number too. Numbers are
never reused. This page is written by ` + "`notchctl codes --output markdown`" + `.

| Class | Numbers | What a caller may conclude |
| --- | --- | --- |
| ` + "`done`" + ` | 1000 to 1999 | The call ran once and this is its whole answer. |
| ` + "`not_run`" + ` | 2000 to 2999 | Certain: nothing ran. The call may be sent again. |
| ` + "`unknown`" + ` | 3000 to 3999 | The call may have run. Only idempotent calls may be sent again blindly. |
| ` + "`refused`" + ` | 4000 to 5999 | A document or a settings file was refused as a whole. No caller sees these. |

| Code | Name | Class | HTTP | Meaning | Advice |
| --- | --- | --- | --- | --- | --- |
`

// WriteMarkdown writes the page of all codes for the docs.
func WriteMarkdown(w io.Writer) error {
	if _, err := io.WriteString(w, pageHead); err != nil {
		return err
	}
	for _, info := range Table {
		cells := info.cells()
		cells[1] = "`" + cells[1] + "`"
		cells[2] = "`" + cells[2] + "`"
		if _, err := fmt.Fprintf(w, "| %s |\n", strings.Join(cells, " | ")); err != nil {
			return err
		}
	}
	return nil
}

// WriteTable writes all codes in columns.
func WriteTable(w io.Writer) error {
	const gap = 2
	t := tabwriter.NewWriter(w, 0, 0, gap, ' ', 0)
	_, _ = fmt.Fprintln(t, "CODE\tNAME\tCLASS\tHTTP\tMEANING\tADVICE")
	for _, info := range Table {
		_, _ = fmt.Fprintln(t, strings.Join(info.cells(), "\t"))
	}
	return t.Flush()
}

func (i Info) cells() []string {
	status := "-"
	if i.HTTPStatus != 0 {
		status = strconv.Itoa(i.HTTPStatus)
	}
	return []string{strconv.Itoa(int(i.Code)), i.Name, string(i.Class), status, i.Meaning, i.Advice}
}
