package experimenter

import (
	"encoding/json"
	"os"
	"path/filepath"
	"sort"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
	filePerm   = 0o644
	folderPerm = 0o755
)

// Write writes a report as JSON, and a plot if it has values over time, into
// the folder.
func Write(folder string, report *Report) error {
	if err := os.MkdirAll(folder, folderPerm); err != nil {
		return Error.Wrap(err)
	}
	data, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return Error.Wrap(err)
	}
	if err := os.WriteFile(filepath.Join(folder, report.Name+".json"), data, filePerm); err != nil {
		return Error.Wrap(err)
	}
	if len(report.Series) == 0 {
		return nil
	}
	return draw(filepath.Join(folder, report.Name+".png"), report)
}

// draw plots the series over time with the steps marked.
func draw(path string, report *Report) error {
	p := plot.New()
	p.Title.Text = report.Name
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "processors at work"
	p.Y.Min = 0
	names := make([]string, 0, len(report.Series))
	for name := range report.Series {
		names = append(names, name)
	}
	sort.Strings(names)
	for i, name := range names {
		points := make(plotter.XYs, len(report.Series[name]))
		for at, v := range report.Series[name] {
			points[at].X = float64(at) * float64(seriesEvery) / 1000
			points[at].Y = v
		}
		curve, err := plotter.NewLine(points)
		if err != nil {
			return Error.Wrap(err)
		}
		curve.Color = plotutil.Color(i)
		p.Add(curve)
		p.Legend.Add(name, curve)
	}
	if err := markSteps(p, report); err != nil {
		return err
	}
	p.Legend.Top = false
	return Error.Wrap(p.Save(plotWidth, plotHeight, path))
}

func markSteps(p *plot.Plot, report *Report) error {
	for _, step := range report.Steps {
		mark, err := plotter.NewLine(plotter.XYs{{X: step.At, Y: 0}, {X: step.At, Y: p.Y.Max}})
		if err != nil {
			return Error.Wrap(err)
		}
		mark.Dashes = []vg.Length{vg.Points(4), vg.Points(4)}
		p.Add(mark)
		label, err := plotter.NewLabels(plotter.XYLabels{
			XYs:    []plotter.XY{{X: step.At, Y: p.Y.Max}},
			Labels: []string{step.What},
		})
		if err != nil {
			return Error.Wrap(err)
		}
		p.Add(label)
	}
	return nil
}
