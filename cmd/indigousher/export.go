package main

import (
	"encoding/csv"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"

	"indigousher/internal/record"
	"indigousher/planner"
)

func exportLife(out io.Writer, s *record.Store, life, format string) error {
	if format != "json" && format != "csv" {
		return fmt.Errorf("%q is neither json nor csv", format)
	}
	enc, table := json.NewEncoder(out), csv.NewWriter(out)
	if format == "csv" {
		if err := table.Write([]string{"at_ms", "kind", "stream", "what"}); err != nil {
			return err
		}
	}
	err := s.Read(life, func(turns []record.Turn, _ bool) error {
		for i := range turns {
			if format == "json" {
				if err := enc.Encode(&turns[i]); err != nil {
					return err
				}
				continue
			}
			for _, in := range turns[i].Inputs {
				if err := table.Write([]string{strconv.FormatFloat(turns[i].AtMs, 'f', 3, 64), in.Kind.String(),
					strconv.FormatUint(in.Stream, 10), exportText(&in)}); err != nil {
					return err
				}
			}
		}
		return nil
	})
	table.Flush()
	return errors.Join(err, table.Error())
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
		return fmt.Sprintf("{Proxy:%v Kind:%v Reqs:%v Unanswered:%v SpanMs:%v}", e.Proxy, e.Class, e.Requests, e.Unanswered, e.SpanMs)
	case planner.SliceStats:
		return fmt.Sprintf("{Slice:%v Kind:%v Reqs:%v Unanswered:%v SpanMs:%v}", e.Slice, e.Class, e.Requests, e.Unanswered, e.SpanMs)
	}
	return "<nil>"
}
