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

// Formats of an export.
const (
	formatJSON = "json"
	formatCSV  = "csv"
)

func exportCommand() *cobra.Command {
	var format string
	c := &cobra.Command{
		Use:   "export DIR LIFE",
		Short: "Write a life's turns to standard output, as JSON lines or CSV",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			return withStore(args[0], func(s *record.Store) error {
				return exportLife(cmd.OutOrStdout(), s, args[1], format)
			})
		},
	}
	c.Flags().StringVar(&format, "as", formatJSON, "json or csv")
	return c
}

func exportLife(out io.Writer, s *record.Store, life, format string) error {
	switch format {
	case formatJSON:
		return exportJSON(out, s, life)
	case formatCSV:
		return exportCSV(out, s, life)
	}
	return fmt.Errorf("%q is neither json nor csv", format)
}

// exportJSON writes a line for each turn.
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

// exportCSV writes a row for each input.
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

// exportText is the last column of the CSV form: what came in. The names in it are part of the form, whatever the Go
// fields are called.
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
