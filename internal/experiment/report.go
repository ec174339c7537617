package experiment

import (
	"fmt"
	"html/template"
	"io"
)

// pageTemplate is the template of the report. The page is self-contained: it uses no other files, no scripts and no
// network.
var pageTemplate = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Name}}</title><style>
body{font:14px/1.5 sans-serif;max-width:1200px;margin:2em auto;padding:0 1em;color:#222}
table{border-collapse:collapse;font-size:12px;display:block;overflow-x:auto}td,th{border:1px solid #ccc;padding:.25em .5em;text-align:right;white-space:nowrap}
td:first-child,td:nth-child(2){text-align:left}.broken{color:#b00}svg{max-width:100%;height:auto}
</style></head><body><h1>{{.Name}}</h1><p>{{.About}}</p>
<p>Emulated, in virtual time; day <b>{{.Day}}</b>, {{.Repeats}} seeds with the same random numbers for all policies. Means with 95%
confidence intervals (Student's t); differences are paired by seed.{{if .Left}} {{.Left}} runs were left out: the budget was spent.{{end}}</p>
<table><tr><th>policy</th><th>levels</th>{{range .Heads}}<th>{{.}}</th>{{end}}</tr>
{{range .Rows}}<tr{{if .Broken}} class="broken"{{end}}><td>{{.Policy}}</td><td>{{.Levels}}</td>{{range .Cells}}<td>{{.}}</td>{{end}}</tr>
{{end}}</table><h2>Load by zone</h2><table><tr><th>policy</th><th>levels</th><th colspan="9">mean busy part of its endpoints</th></tr>
{{range .Heats}}<tr><td>{{.Policy}}</td><td>{{.Levels}}</td>{{range .Cells}}<td style="{{.Shade}}">{{.Zone}} {{printf "%.2f" .Load}}</td>{{end}}</tr>
{{end}}</table>{{range .Charts}}<h2>{{.Title}}</h2>{{.SVG}}{{end}}</body></html>
`))

// pageView is the data for the page template.
type pageView struct {
	Name, About, Day string
	Repeats, Left    int      // seeds for each cell; number of runs that were left out
	Heads            []string // column heads of the metrics
	Rows             []pageRow
	Charts           []chart
	Heats            []heatRow // rows of the heat map
}

// pageRow is a row of the table in the report, for one cell of the experiment.
type pageRow struct {
	Policy, Levels string
	Cells          []string // formatted metrics
	Broken         bool     // a rule was violated in at least one run
}

// Report writes a self-contained HTML page with the table, the heat map and the charts.
func (t *Table) Report(out io.Writer) error {
	charts, err := t.charts()
	if err != nil {
		return err
	}
	view := pageView{
		Name:    t.Plan.Name,
		About:   t.Plan.About,
		Day:     t.Plan.Day,
		Repeats: t.Plan.Repeats,
		Left:    t.LeftOut,
		Rows:    t.pageRows(),
		Charts:  charts,
		Heats:   t.heatMap(),
	}
	for _, m := range Metrics {
		view.Heads = append(view.Heads, m.Name)
	}
	view.Heads = append(view.Heads, "service beside "+t.Plan.Policies[0])
	if err := pageTemplate.Execute(out, view); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

func (t *Table) pageRows() []pageRow {
	var rows []pageRow
	for i, c := range t.Cells {
		row := pageRow{Policy: c.Policy, Levels: t.Plan.Label(c.Levels)}
		for _, m := range Metrics {
			row.Cells = append(row.Cells, t.Figure(i, m).String())
		}
		row.Cells = append(row.Cells, t.Difference(i, Metrics[0]).String())
		row.Broken = t.Figure(i, rulesBroken).Mean > 0
		rows = append(rows, row)
	}
	return rows
}
