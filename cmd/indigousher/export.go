package main

import (
	"encoding/csv"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"

	"github.com/spf13/cobra"

	"indigousher/internal/record"
	"indigousher/planner"
)

// Values of the flag --as: the formats of an export.
const (
	formatJSON = "json"
	formatCSV  = "csv"
)

// exportCommand returns the command that exports the turns of a life.
func exportCommand() *cobra.Command {
	var format string
	c := &cobra.Command{
		Use:   "export DIR LIFE",
		Short: "Write the turns of a life to standard output, as JSON lines or CSV",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			return withStore(args[0], func(s *record.Store) error {
				return exportLife(cmd.OutOrStdout(), s, args[1], format)
			})
		},
	}
	c.Flags().StringVar(&format, "as", formatJSON, "format: json or csv")
	return c
}

// exportLife writes the turns of the life with that ID to out, in one of the export formats.
func exportLife(out io.Writer, s *record.Store, life, format string) error {
	switch format {
	case formatJSON:
		return exportJSON(out, s, life)
	case formatCSV:
		return exportCSV(out, s, life)
	}
	return fmt.Errorf("unknown export format %q: must be json or csv", format)
}

// exportJSON writes each turn as one line of JSON.
func exportJSON(out io.Writer, s *record.Store, life string) error {
	encoder := json.NewEncoder(out)
	return s.Read(life, func(turns []record.Turn, _ bool) error {
		for i := range turns {
			if err := encoder.Encode(&turns[i]); err != nil {
				return err
			}
		}
		return nil
	})
}

// exportCSV writes a header and one row for each input of each turn.
func exportCSV(out io.Writer, s *record.Store, life string) error {
	table := csv.NewWriter(out)
	if err := table.Write([]string{"at_ms", "kind", "stream", "what"}); err != nil {
		return err
	}
	err := s.Read(life, func(turns []record.Turn, _ bool) error {
		for i := range turns {
			if err := exportRows(table, &turns[i]); err != nil {
				return err
			}
		}
		return nil
	})
	table.Flush()
	return errors.Join(err, table.Error())
}

// exportRows writes one CSV row for each input of a turn.
func exportRows(table *csv.Writer, t *record.Turn) error {
	for i := range t.Inputs {
		in := &t.Inputs[i]
		row := []string{
			strconv.FormatFloat(t.AtMs, 'f', 3, 64),
			in.Kind.String(),
			strconv.FormatUint(in.Stream, 10),
			exportText(in),
		}
		if err := table.Write(row); err != nil {
			return err
		}
	}
	return nil
}

// exportText returns the content of an input for the last CSV column. The field names in the text are part of the
// export format and must not change, even if the Go fields are renamed.
func exportText(in *record.Input) string {
	if in.Message != nil {
		return fmt.Sprintf("%+v", in.Message)
	}
	switch e := in.Event.(type) {
	case planner.EndpointStats:
		return fmt.Sprintf("{Endpoint:%v Zone:%v Tries:%v Failed:%v MeanMs:%v SpanMs:%v Load:%v}",
			e.Endpoint, e.Zone, e.Attempts, e.Failed, e.MeanMs, e.SpanMs, e.Load)
	case planner.RequestStats:
		return fmt.Sprintf("{Proxy:%v Kind:%v Reqs:%v Unanswered:%v SpanMs:%v}",
			e.Proxy, e.Class, e.Requests, e.Unanswered, e.SpanMs)
	case planner.SliceStats:
		return fmt.Sprintf("{Slice:%v Kind:%v Reqs:%v Unanswered:%v SpanMs:%v}",
			e.Slice, e.Class, e.Requests, e.Unanswered, e.SpanMs)
	}
	return "<nil>"
}
