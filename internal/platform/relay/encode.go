package relay

import (
	"encoding/json"
	"strconv"

	"indigousher/brain"
)

// noProxy is the number of no proxy, where a command names none.
const noProxy = -1

// command is one of the planner's commands, encoded for the relay.
type command struct {
	encoded []byte // JSON

	// What decides how commands are merged.
	key         string // what it sets: of two with the same key the newer one alone counts
	table       string // whose weights or admission it sets; "" if of none
	clearsTable bool   // empties its table, and so supersedes all that has set it
	proxy       int    // that it names, or noProxy
	acks        []int  // numbers of its ack request and of those that it has superseded

	halted bool // the relay has halted at it once
}

// encode returns a command as the relay reads it, and whether it is one for the relay. classNames are the request
// classes' names by bit of a mask.
func encode(c brain.Order, endpointName func(i int) string, classNames []string) (command, bool) {
	switch c := c.(type) {
	case brain.SetLine:
		return encodeSetWeight(c, endpointName), true
	case brain.ClearTable:
		return encodeClearTable(c), true
	case brain.Bind:
		return encodeAssignTable(c, classNames), true
	case brain.Withdraw:
		return encodeSetExcluded(c, endpointName), true
	case brain.Admit:
		return encodeSetAdmission(c, classNames), true
	case brain.Mark:
		return encodeAckRequest(c), true
	}
	return command{}, false
}

func encodeSetWeight(c brain.SetLine, endpointName func(i int) string) command {
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

func encodeClearTable(c brain.ClearTable) command {
	table := strconv.Itoa(c.Table)
	return command{
		key:         "clear " + table,
		proxy:       noProxy,
		table:       table,
		clearsTable: true,
		encoded:     []byte(`{"verb":"DEL","cluster":` + table + `}`),
	}
}

func encodeAssignTable(c brain.Bind, classNames []string) command {
	node := strconv.Itoa(c.Proxy)
	return command{
		key:   "bind " + node + " " + strconv.Itoa(c.Kinds),
		proxy: c.Proxy,
		encoded: []byte(`{"verb":"USE","node":` + node + `,"cluster":` + strconv.Itoa(c.Table) +
			encodeClasses(c.Kinds, classNames) + `}`),
	}
}

func encodeSetExcluded(c brain.Withdraw, endpointName func(i int) string) command {
	endpoint := quote(endpointName(c.Endpoint))
	verb := "IN"
	if c.Out {
		verb = "OUT"
	}
	return command{
		key:     "out " + endpoint,
		proxy:   noProxy,
		encoded: []byte(`{"verb":"` + verb + `","endpoint":` + endpoint + `}`),
	}
}

// encodeSetAdmission leaves the table out where it is of all tables.
func encodeSetAdmission(c brain.Admit, classNames []string) command {
	table := ""
	cluster := ""
	if c.Table != brain.EveryTable {
		table = strconv.Itoa(c.Table)
		cluster = `,"cluster":` + table
	}
	return command{
		key:   "level " + table + " " + strconv.Itoa(c.Kinds),
		proxy: noProxy,
		table: table,
		encoded: []byte(`{"verb":"LIMIT"` + cluster + encodeClasses(c.Kinds, classNames) +
			`,"level":` + formatFloat(c.Level) + `,"retry":` + strconv.Itoa(c.Again) + `}`),
	}
}

func encodeAckRequest(c brain.Mark) command {
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

// formatFloat writes the shortest text that reads back as the same number.
func formatFloat(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) }

func quote(s string) string {
	text, _ := json.Marshal(s) // of a string it never fails
	return string(text)
}

// encodeClasses names the request classes of a mask; all of them need no naming.
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
