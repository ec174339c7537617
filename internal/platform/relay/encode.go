package relay

import (
	"encoding/json"
	"strconv"

	"indigousher/planner"
)

// noProxy is the proxy number of commands that name no proxy.
const noProxy = -1

// command is a planner command, encoded for the relay.
type command struct {
	encoded []byte // JSON

	// Inputs of merge.
	key         string // identifies the state it sets; of two commands with one key only the newer counts
	table       string // whose weights or admission it sets, or ""
	clearsTable bool   // deletes its table, which supersedes everything set in it
	proxy       int    // that it configures, or noProxy
	acks        []int  // number of the ack request, and of those it has superseded

	halted bool // the relay has halted at it before
}

// encode returns the command as the relay expects it, and false if it is not for the relay. classNames are the names
// of the request classes, indexed by bit of a class mask.
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
		key:   "line " + table + " " + endpoint,
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
		key:   "bind " + node + " " + strconv.Itoa(c.Classes),
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
		key:     "out " + endpoint,
		proxy:   noProxy,
		encoded: []byte(`{"verb":"` + verb + `","endpoint":` + endpoint + `}`),
	}
}

// encodeSetAdmission omits the table if the command is for all tables.
func encodeSetAdmission(c planner.SetAdmission, classNames []string) command {
	table := ""
	cluster := ""
	if c.Table != planner.EveryTable {
		table = strconv.Itoa(c.Table)
		cluster = `,"cluster":` + table
	}
	return command{
		key:   "level " + table + " " + strconv.Itoa(c.Classes),
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

// formatFloat returns the shortest text that parses to the same number.
func formatFloat(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) }

func quote(s string) string {
	text, _ := json.Marshal(s) // marshalling a string never fails
	return string(text)
}

// encodeClasses returns the field that names the request classes of a mask. It is omitted for all classes.
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
