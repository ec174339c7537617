package relay

import (
	"encoding/json"
	"strconv"

	"indigousher/brain"
)

// command is one order, laid out. Of two with the same key the newer one alone counts. A key of no object is never outdated
// by another.
type command struct {
	key         string
	encoded     []byte
	proxy       int    // that it names; -1: none
	table       string // whose lines or levels it sets; "": none
	clearsTable bool   // empties its table
	halted      bool   // the relay has halted at it once
	acks        []int  // that it sets, with those that it has outdated
}

// encode turns an order into an op. Kinds are the req kinds' names in order.
func encode(o brain.Order, endpoint func(i int) string, kinds []string) (command, bool) {
	switch o := o.(type) {
	case brain.SetLine:
		name, table := quote(endpoint(o.Endpoint)), strconv.Itoa(o.Table)
		return command{key: "line " + table + " " + name, proxy: -1, table: table, encoded: []byte(`{"verb":"SET","cluster":` + table +
			`,"endpoint":` + name + `,"w":` + formatFloat(o.Weight) + `}`)}, true
	case brain.ClearTable:
		table := strconv.Itoa(o.Table)
		return command{key: "clear " + table, proxy: -1, table: table, clearsTable: true,
			encoded: []byte(`{"verb":"DEL","cluster":` + table + `}`)}, true
	case brain.Bind:
		node := strconv.Itoa(o.Proxy)
		return command{key: "bind " + node + " " + strconv.Itoa(o.Kinds), proxy: o.Proxy, encoded: []byte(`{"verb":"USE","node":` +
			node + `,"cluster":` + strconv.Itoa(o.Table) + encodeClasses(o.Kinds, kinds) + `}`)}, true
	case brain.Withdraw:
		name, verb := quote(endpoint(o.Endpoint)), "IN"
		if o.Out {
			verb = "OUT"
		}
		return command{key: "out " + name, proxy: -1, encoded: []byte(`{"verb":"` + verb + `","endpoint":` + name + `}`)}, true
	case brain.Admit:
		table, cluster := strconv.Itoa(o.Table), `,"cluster":`+strconv.Itoa(o.Table)
		if o.Table == brain.EveryTable {
			table, cluster = "", ""
		}
		return command{key: "level " + table + " " + strconv.Itoa(o.Kinds), proxy: -1, table: table, encoded: []byte(`{"verb":"LIMIT"` +
			cluster + encodeClasses(o.Kinds, kinds) + `,"level":` + formatFloat(o.Level) + `,"retry":` + strconv.Itoa(o.Again) + `}`)}, true
	case brain.Mark:
		text := `{"verb":"SYNC","ticket":` + strconv.Itoa(o.Number)
		if o.All {
			text += `,"set":1`
		}
		return command{key: "mark", proxy: -1, acks: []int{o.Number}, encoded: []byte(text + `}`)}, true
	}
	return command{}, false
}

func formatFloat(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) }

func quote(s string) string {
	b, _ := json.Marshal(s) // a string always can be
	return string(b)
}

// encodeClasses names the req kinds of a mask; all of them need no naming.
func encodeClasses(mask int, kinds []string) string {
	if mask == 0 || mask == 1<<len(kinds)-1 {
		return ""
	}
	text := `,"classes":[`
	for k, name := range kinds {
		if mask&(1<<k) != 0 {
			if text[len(text)-1] != '[' {
				text += ","
			}
			text += quote(name)
		}
	}
	return text + "]"
}
