package relay

import (
	"encoding/json"
	"slices"
	"strconv"

	"indigousher/planner"
)

// op is one order, laid out. Of two with the same key the newer one alone counts. A key of no object is never outdated
// by another.
type op struct {
	key   string
	text  []byte
	proxy int    // that it names; -1: none
	table string // whose lines or levels it sets; "": none
	clear bool   // empties its table
	tried bool   // the relay has halted at it once
	marks []int  // that it sets, with those that it has outdated
}

// layOut turns an order into an op. Kinds are the req kinds' names in order.
func layOut(o planner.Command, endpoint func(i int) string, kinds []string) (op, bool) {
	switch o := o.(type) {
	case planner.SetWeight:
		name, table := quoted(endpoint(o.Endpoint)), strconv.Itoa(o.Table)
		return op{key: "line " + table + " " + name, proxy: -1, table: table, text: []byte(`{"verb":"SET","cluster":` + table +
			`,"endpoint":` + name + `,"w":` + number(o.Weight) + `}`)}, true
	case planner.ClearTable:
		table := strconv.Itoa(o.Table)
		return op{key: "clear " + table, proxy: -1, table: table, clear: true,
			text: []byte(`{"verb":"DEL","cluster":` + table + `}`)}, true
	case planner.AssignTable:
		node := strconv.Itoa(o.Proxy)
		return op{key: "bind " + node + " " + strconv.Itoa(o.Classes), proxy: o.Proxy, text: []byte(`{"verb":"USE","node":` +
			node + `,"cluster":` + strconv.Itoa(o.Table) + classes(o.Classes, kinds) + `}`)}, true
	case planner.SetExcluded:
		name, verb := quoted(endpoint(o.Endpoint)), "IN"
		if o.Excluded {
			verb = "OUT"
		}
		return op{key: "out " + name, proxy: -1, text: []byte(`{"verb":"` + verb + `","endpoint":` + name + `}`)}, true
	case planner.SetAdmission:
		table, cluster := strconv.Itoa(o.Table), `,"cluster":`+strconv.Itoa(o.Table)
		if o.Table == planner.EveryTable {
			table, cluster = "", ""
		}
		return op{key: "level " + table + " " + strconv.Itoa(o.Classes), proxy: -1, table: table, text: []byte(`{"verb":"LIMIT"` +
			cluster + classes(o.Classes, kinds) + `,"level":` + number(o.Level) + `,"retry":` + strconv.Itoa(o.RetryMode) + `}`)}, true
	case planner.AckRequest:
		text := `{"verb":"SYNC","ticket":` + strconv.Itoa(o.Number)
		if o.All {
			text += `,"set":1`
		}
		return op{key: "mark", proxy: -1, marks: []int{o.Number}, text: []byte(text + `}`)}, true
	}
	return op{}, false
}

func number(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) }

func quoted(s string) string {
	b, _ := json.Marshal(s) // a string always can be
	return string(b)
}

// classes names the req kinds of a mask; all of them need no naming.
func classes(mask int, kinds []string) string {
	if mask == 0 || mask == 1<<len(kinds)-1 {
		return ""
	}
	text := `,"classes":[`
	for k, name := range kinds {
		if mask&(1<<k) != 0 {
			if text[len(text)-1] != '[' {
				text += ","
			}
			text += quoted(name)
		}
	}
	return text + "]"
}

// fresh drops from a sequence what something later in it has outdated, and leaves the rest in order.
func fresh(ops []op) []op {
	seen, cleared := map[string]bool{}, map[string]bool{}
	kept, marks := make([]op, 0, len(ops)), []int(nil)
	for i := len(ops) - 1; i >= 0; i-- {
		o := ops[i]
		if seen[o.key] || o.table != "" && cleared[o.table] {
			marks = append(marks, o.marks...)
			continue
		}
		seen[o.key] = true
		if o.clear {
			cleared[o.table] = true
		}
		kept = append(kept, o)
	}
	slices.Reverse(kept)
	for i := range kept {
		if len(kept[i].marks) > 0 {
			kept[i].marks = append(slices.Clone(kept[i].marks), marks...)
		}
	}
	return kept
}
