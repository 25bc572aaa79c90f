//! The page of a process's own figures, in the Prometheus text format.

use std::collections::BTreeSet;
use telemetry::metrics::Metrics;
use telemetry::prometheus::{to_text, Gauge};

fn is_name(text: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '_';
    text.starts_with("rushport_") && text.chars().all(is_allowed)
}

/// Guards: counters with hyphens in their names, and labels, make a page that a reader of the
/// format takes: each sample after the type of its metric, each metric once.
#[test]
fn the_page_keeps_to_the_format() {
    let metrics = Metrics::default();
    metrics.add("refused-quota", 3);
    metrics.increment("jobs");
    // A frame of kind 1, and its length before it.
    telemetry::traffic::count_sent(&[0, 0, 0, 2, 1, 7]);
    let gauges = [Gauge {
        name: "requests_in_flight",
        value: 12,
    }];
    let text = to_text(&metrics, &gauges);

    let mut typed = BTreeSet::new();
    for line in text.lines() {
        if let Some(declared) = line.strip_prefix("# TYPE ") {
            let (name, kind) = declared.split_once(' ').expect("a name and a type");
            assert!(
                is_name(name) && ["counter", "gauge"].contains(&kind),
                "{line}"
            );
            assert_eq!(kind == "counter", name.ends_with("_total"), "{line}");
            assert!(typed.insert(name.to_string()), "{name} stands twice");
            continue;
        }
        let (series, value) = line.rsplit_once(' ').expect("a series and a value");
        value.parse::<u64>().expect("a whole number");
        let name = series.split('{').next().unwrap_or_default();
        assert!(typed.contains(name), "{line}");
        assert!(series == name || series.ends_with("\"}"), "{line}");
    }
    let lines: BTreeSet<&str> = text.lines().collect();
    assert!(lines.contains("rushport_refused_quota_total 3"), "{text}");
    assert!(lines.contains("rushport_jobs_total 1"), "{text}");
    assert!(lines.contains("rushport_requests_in_flight 12"), "{text}");
    let is_sent_bytes = |line: &&str| {
        line.starts_with("rushport_link_bytes_total{kind=")
            && line.ends_with("direction=\"sent\"} 6")
    };
    assert!(lines.iter().any(is_sent_bytes), "{text}");
}
