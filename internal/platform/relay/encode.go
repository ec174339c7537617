package relay

import (
	"encoding/json"
	"strconv"

	"indigousher/planner"
)

// noProxy is the value of command.proxy for commands that do not name a proxy.
const noProxy = -1

// command is a planner command, encoded for the relay, with the properties that merging depends on.
type command struct {
	encoded []byte // JSON object

	// Properties used by merge and callQueue.dropProxy.
	key         string // identifies the state that the command sets: a newer command with the same key supersedes it
	table       string // table whose weights or admission it sets or that it deletes; empty for other commands
	clearsTable bool   // deletes table, which supersedes all earlier commands for the table
	proxy       int    // proxy that it configures, or noProxy
	acks        []int  // number of the ack request and of those that it supersedes; empty for other commands

	halted bool // the relay halted at this command in an earlier call
}

// encode converts a planner command to the relay's format. It returns false for commands that are not for the relay.
// endpointName returns the name of the endpoint with an index. classNames are the names of the request classes, indexed
// by bit number in a class mask.
func encode(c planner.Command, endpointName func(i int) string, classNames []string) (command, bool) {
	switch c := c.(type) {
	case planner.SetWeight:
		return encodeSetWeight(c, endpointName), true
	case planner.ClearTable:
		return encodeClearTable(c), true
	case planner.AssignTable:
		return encodeAssignTable(c, classNames), true
	case planner.SetExcluded:
		return encodeSetExcluded(c, endpointName), true
	case planner.SetAdmission:
		return encodeSetAdmission(c, classNames), true
	case planner.AckRequest:
		return encodeAckRequest(c), true
	}
	return command{}, false
}

func encodeSetWeight(c planner.SetWeight, endpointName func(i int) string) command {
	endpoint := quote(endpointName(c.Endpoint))
	table := strconv.Itoa(c.Table)
	return command{
		key:   "weight " + table + " " + endpoint,
		proxy: noProxy,
		table: table,
		encoded: []byte(`{"verb":"SET","cluster":` + table + `,"endpoint":` + endpoint +
			`,"w":` + formatFloat(c.Weight) + `}`),
	}
}

func encodeClearTable(c planner.ClearTable) command {
	table := strconv.Itoa(c.Table)
	return command{
		key:         "clear " + table,
		proxy:       noProxy,
		table:       table,
		clearsTable: true,
		encoded:     []byte(`{"verb":"DEL","cluster":` + table + `}`),
	}
}

func encodeAssignTable(c planner.AssignTable, classNames []string) command {
	node := strconv.Itoa(c.Proxy)
	return command{
		key:   "assign " + node + " " + strconv.Itoa(c.Classes),
		proxy: c.Proxy,
		encoded: []byte(`{"verb":"USE","node":` + node + `,"cluster":` + strconv.Itoa(c.Table) +
			encodeClasses(c.Classes, classNames) + `}`),
	}
}

func encodeSetExcluded(c planner.SetExcluded, endpointName func(i int) string) command {
	endpoint := quote(endpointName(c.Endpoint))
	verb := "IN"
	if c.Excluded {
		verb = "OUT"
	}
	return command{
		key:     "exclude " + endpoint,
		proxy:   noProxy,
		encoded: []byte(`{"verb":"` + verb + `","endpoint":` + endpoint + `}`),
	}
}

// encodeSetAdmission encodes a command that sets an admission level. Without a table the command applies to all tables.
func encodeSetAdmission(c planner.SetAdmission, classNames []string) command {
	table := ""
	cluster := ""
	if c.Table != planner.EveryTable {
		table = strconv.Itoa(c.Table)
		cluster = `,"cluster":` + table
	}
	return command{
		key:   "admission " + table + " " + strconv.Itoa(c.Classes),
		proxy: noProxy,
		table: table,
		encoded: []byte(`{"verb":"LIMIT"` + cluster + encodeClasses(c.Classes, classNames) +
			`,"level":` + formatFloat(c.Level) + `,"retry":` + strconv.Itoa(c.RetryMode) + `}`),
	}
}

func encodeAckRequest(c planner.AckRequest) command {
	text := `{"verb":"SYNC","ticket":` + strconv.Itoa(c.Number)
	if c.All {
		text += `,"set":1`
	}
	return command{
		key:     "mark",
		proxy:   noProxy,
		acks:    []int{c.Number},
		encoded: []byte(text + `}`),
	}
}

// formatFloat returns the shortest decimal text that parses to the same number.
func formatFloat(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) }

// quote returns a string as JSON.
func quote(s string) string {
	text, _ := json.Marshal(s) // marshalling a string never fails
	return string(text)
}

// encodeClasses returns the JSON field, with a leading comma, that lists the request classes in a mask. It returns an
// empty text if the mask is 0 or contains all classes, because a command without the field applies to all.
func encodeClasses(mask int, classNames []string) string {
	if mask == 0 || mask == 1<<len(classNames)-1 {
		return ""
	}
	text := `,"classes":[`
	for bit, name := range classNames {
		if mask&(1<<bit) == 0 {
			continue
		}
		if text[len(text)-1] != '[' {
			text += ","
		}
		text += quote(name)
	}
	return text + "]"
}
