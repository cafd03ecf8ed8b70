package delivery

import (
	"context"
	"image/color"
	"io"
	"slices"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"rhubarbwood.example/rhubarbwood/internal/delivery/deliverypb"
)

// Point is the burn rate of an objective over the slot that ends at End.
type Point struct {
	End  time.Time
	Rate float64
}

// Series is the burn rate of one objective over time.
type Series struct {
	Objective Objective
	Points    []Point
}

// BurnSeries returns the burn rate of every objective over the last since, with
// one point for each step that has requests to which the objective applies. The
// step is five minutes, or an hour if since exceeds six hours.
func (r *Reporter) BurnSeries(ctx context.Context, objectives []Objective, since time.Duration) ([]Series, Completeness, error) {
	g, err := r.gather(ctx, since, false)
	if err != nil {
		return nil, Completeness{}, err
	}
	step := levels[1]
	if since > BurnWindows[2] {
		step = levels[2]
	}
	var all []Series
	for _, o := range objectives {
		if s := g.series(o, step); len(s.Points) > 0 {
			all = append(all, s)
		}
	}
	return all, g.completeness, nil
}

func (g *reportData) series(o Objective, step level) Series {
	burns := map[time.Time]*ObjectiveBurn{}
	for _, p := range g.rows {
		end := step.slotEnd(p.end)
		if burns[end] == nil {
			burns[end] = &ObjectiveBurn{Objective: o, Burns: []Burn{{Window: step.slot}}}
		}
		eachRow(p.rows, func(k Key, row *deliverypb.Row) { burns[end].add(0, k, row) })
	}
	s := Series{Objective: o}
	for end, b := range burns {
		if total := b.Burns[0].Total; total > 0 {
			s.Points = append(s.Points, Point{End: end, Rate: o.burnRate(total, b.Burns[0].Bad)})
		}
	}
	slices.SortFunc(s.Points, func(a, b Point) int { return a.End.Compare(b.End) })
	return s
}

const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// PlotBurn draws series as "svg" or "png". The title states whether windows are
// missing.
func PlotBurn(w io.Writer, format string, series []Series, c Completeness) error {
	p := plot.New()
	p.Title.Text = "Service-level burn"
	if !c.Complete() {
		p.Title.Text += " (windows are missing)"
	}
	p.Y.Label.Text = "burn rate"
	p.Y.Min = 0
	p.X.Tick.Marker = plot.TimeTicks{Format: "Jan 2\n15:04"}
	p.Legend.Top = true
	if err := addLines(p, series); err != nil {
		return err
	}
	addBudgetLine(p, c)
	canvas, err := p.WriterTo(plotWidth, plotHeight, format)
	if err != nil {
		return Error.New("plot: %w", err)
	}
	_, err = canvas.WriteTo(w)
	return Error.Wrap(err)
}

func addLines(p *plot.Plot, series []Series) error {
	for i, s := range series {
		points := make(plotter.XYs, 0, len(s.Points))
		for _, pt := range s.Points {
			points = append(points, plotter.XY{X: float64(pt.End.Unix()), Y: pt.Rate})
		}
		line, dots, err := plotter.NewLinePoints(points)
		if err != nil {
			return Error.New("plot: %w", err)
		}
		line.Color, dots.Color = plotutil.Color(i), plotutil.Color(i)
		line.Dashes = plotutil.Dashes(i / len(plotutil.DefaultColors))
		p.Add(line, dots)
		p.Legend.Add(s.Objective.Service+" "+string(s.Objective.Aim), line)
	}
	return nil
}

// addBudgetLine draws burn rate 1, at which the error budget lasts exactly for
// its period.
func addBudgetLine(p *plot.Plot, c Completeness) {
	if c.From.IsZero() || !c.To.After(c.From) {
		return
	}
	budget := plotter.NewFunction(func(float64) float64 { return 1 })
	budget.Color = color.Gray{Y: 160}
	p.Add(budget)
	p.X.Min, p.X.Max = float64(c.From.Unix()), float64(c.To.Unix())
}
