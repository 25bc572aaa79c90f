//! A process's own figures in the Prometheus text format, version 0.0.4
//! (<https://prometheus.io/docs/instrumenting/exposition_formats/>).
//!
//! The text is made when it is asked for; nothing is kept for it.

use crate::metrics::Metrics;
use crate::traffic::{self, KindTotals, Total};
use std::collections::BTreeMap;
use std::fmt::Write;

/// The content type of the text.
pub const CONTENT_TYPE: &str = "text/plain; version=0.0.4; charset=utf-8";

/// Begins the name of each metric.
const NAMESPACE: &str = "rushport";

/// A figure that may rise and fall.
#[derive(Clone, Copy, Debug)]
pub struct Gauge {
    /// Its name without the namespace, in snake case, with the unit at its end.
    pub name: &'static str,
    /// Its value now.
    pub value: u64,
}

/// All counters, the traffic of the framed links and these gauges.
pub fn to_text(metrics: &Metrics, gauges: &[Gauge]) -> String {
    let mut text = String::new();
    for (name, count) in metrics.counters() {
        let name = format!("{NAMESPACE}_{}_total", snake_case(name));
        sample(&mut text, &name, "counter", count);
    }
    for gauge in gauges {
        let name = format!("{NAMESPACE}_{}", gauge.name);
        sample(&mut text, &name, "gauge", gauge.value);
    }
    link_traffic(&mut text);
    text
}

fn sample(text: &mut String, name: &str, kind: &str, value: u64) {
    append(text, format_args!("# TYPE {name} {kind}\n{name} {value}\n"));
}

/// Frames and bytes by kind of frame and direction.
fn link_traffic(text: &mut String) {
    let totals = traffic::totals();
    link_figure(text, "link_frames_total", &totals, |total| total.frames);
    link_figure(text, "link_bytes_total", &totals, |total| total.bytes);
}

fn link_figure(
    text: &mut String,
    name: &str,
    totals: &BTreeMap<&'static str, KindTotals>,
    figure: impl Fn(Total) -> u64,
) {
    append(text, format_args!("# TYPE {NAMESPACE}_{name} counter\n"));
    for (kind, of_kind) in totals {
        let kind = snake_case(kind);
        for (direction, total) in [("sent", of_kind.sent), ("received", of_kind.received)] {
            let value = figure(total);
            append(
                text,
                format_args!(
                    "{NAMESPACE}_{name}{{kind=\"{kind}\",direction=\"{direction}\"}} {value}\n"
                ),
            );
        }
    }
}

fn append(text: &mut String, line: std::fmt::Arguments) {
    text.write_fmt(line)
        .expect("writing to a string does not fail");
}

/// A name in the characters that a metric's name may have.
fn snake_case(name: &str) -> String {
    let allowed = |c: char| match c {
        'a'..='z' | '0'..='9' => c,
        'A'..='Z' => c.to_ascii_lowercase(),
        _ => '_',
    };
    name.chars().map(allowed).collect()
}
