//! Plots as SVG: panels beside each other, each with its points and the line
//! through them.

use std::fmt::Write;

/// One figure against what was varied.
pub struct Panel {
    /// What the figure is.
    pub title: String,
    /// What was varied, and the figure.
    pub points: Vec<(f64, f64)>,
}

/// The line of least squares: its value at zero, and its slope.
pub fn least_squares(points: &[(f64, f64)]) -> (f64, f64) {
    let count = points.len().max(1) as f64;
    let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / count;
    let (x, y) = (mean(|point| point.0), mean(|point| point.1));
    let across: f64 = points
        .iter()
        .map(|point| (point.0 - x) * (point.1 - y))
        .sum();
    let along: f64 = points.iter().map(|point| (point.0 - x).powi(2)).sum();
    let slope = if along > 0.0 { across / along } else { 0.0 };
    (y - slope * x, slope)
}

const WIDE: f64 = 300.0;
const HIGH: f64 = 200.0;
const EDGE: f64 = 46.0;
const ACROSS: usize = 3;

fn short(value: f64) -> String {
    match value.abs() {
        size if size >= 1e6 => format!("{:.1}M", value / 1e6),
        size if size >= 1e4 => format!("{:.0}k", value / 1e3),
        size if size >= 100.0 => format!("{value:.0}"),
        size if size >= 1.0 => format!("{value:.1}"),
        _ => format!("{value:.2}"),
    }
}

/// A drawing of all panels, three in a row. `across` names what was varied.
pub fn svg(title: &str, across: &str, panels: &[Panel]) -> String {
    let rows = panels.len().div_ceil(ACROSS);
    let (wide, high) = (WIDE * ACROSS as f64, HIGH * rows as f64 + 40.0);
    let mut text = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{wide}\" height=\"{high}\" \
         font-family=\"sans-serif\" font-size=\"11\">\n\
         <rect width=\"{wide}\" height=\"{high}\" fill=\"white\"/>\n\
         <text x=\"10\" y=\"20\" font-size=\"14\">{title}</text>\n"
    );
    for (at, panel) in panels.iter().enumerate() {
        let (left, top) = (
            WIDE * (at % ACROSS) as f64,
            HIGH * (at / ACROSS) as f64 + 30.0,
        );
        let most = |of: fn(&(f64, f64)) -> f64| panel.points.iter().map(of).fold(0.0, f64::max);
        let (x_most, y_most) = (most(|p| p.0).max(1e-9), (most(|p| p.1) * 1.1).max(1e-9));
        let place = |(x, y): (f64, f64)| {
            let along = left + EDGE + x / x_most * (WIDE - EDGE - 14.0);
            let up = top + HIGH - EDGE - (y / y_most).clamp(0.0, 1.0) * (HIGH - EDGE - 24.0);
            (along, up)
        };
        let (begin, slope) = least_squares(&panel.points);
        let ((x0, y0), (x1, _)) = (place((0.0, 0.0)), place((x_most, 0.0)));
        let (_, y1) = place((0.0, y_most));
        let _ = writeln!(
            text,
            "<path d=\"M{x0:.1} {y1:.1}V{y0:.1}H{x1:.1}\" fill=\"none\" stroke=\"black\"/>\
             <text x=\"{:.1}\" y=\"{:.1}\">{}</text>\
             <text x=\"{:.1}\" y=\"{:.1}\" text-anchor=\"end\">{}</text>\
             <text x=\"{:.1}\" y=\"{:.1}\" text-anchor=\"end\">{}</text>\
             <text x=\"{x1:.1}\" y=\"{:.1}\" text-anchor=\"end\">{} {across}</text>",
            left + EDGE,
            top + 12.0,
            panel.title,
            x0 - 4.0,
            y1 + 6.0,
            short(y_most),
            x0 - 4.0,
            y0 + 4.0,
            0,
            y0 + 16.0,
            short(x_most),
        );
        let ((x0, y0), (x1, y1)) = (place((0.0, begin)), place((x_most, begin + slope * x_most)));
        let _ = writeln!(
            text,
            "<path d=\"M{x0:.1} {y0:.1}L{x1:.1} {y1:.1}\" stroke=\"steelblue\"/>"
        );
        for point in &panel.points {
            let (x, y) = place(*point);
            let _ = writeln!(
                text,
                "<circle cx=\"{x:.1}\" cy=\"{y:.1}\" r=\"3\" fill=\"firebrick\"/>"
            );
        }
    }
    text.push_str("</svg>\n");
    text
}
