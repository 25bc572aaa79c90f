//! A small deployment, and lines of its journals.

use checker::{check, Deployment, EngineSlots, Journals, Quota, Rule};
use simd_json::OwnedValue;

pub const S: u64 = 1_000_000;

pub fn lines(text: &str) -> Vec<OwnedValue> {
    let read = |line: &str| residency::parse_json(line).expect("a line of the case reads");
    text.lines()
        .map(str::trim)
        .filter(|line| !line.is_empty())
        .map(read)
        .collect()
}

pub fn deployment() -> Deployment {
    let map = |pairs: &[(&str, &str)]| {
        pairs
            .iter()
            .map(|(a, b)| (a.to_string(), b.to_string()))
            .collect()
    };
    let slots = EngineSlots {
        total: 8,
        set_point: 7,
    };
    Deployment {
        engine_regions: map(&[("e1", "north"), ("e2", "south")]),
        engine_zones: map(&[("e1", "north-a"), ("e2", "south-a")]),
        engine_slots: [("e1".to_string(), slots), ("e2".to_string(), slots)].into(),
        node_regions: map(&[("r1", "north"), ("r2", "south"), ("d1", "south")]),
        zone_regions: map(&[("north-a", "north"), ("south-a", "south")]),
        homes: [("ana".to_string(), ["north".to_string()].into())].into(),
        quotas: [(
            "pia".to_string(),
            Quota {
                requests_per_s: 2,
                burst: 4,
            },
        )]
        .into(),
    }
}

pub fn ran(job: &str, engine: &str, run: u64, at: u64) -> String {
    ["received", "begun-cold", "ended"]
        .iter()
        .enumerate()
        .map(|(n, event)| {
            let (run, at) = (if n == 0 { 0 } else { run }, at + n as u64);
            format!(
                r#"{{"at":{at},"engine":"{engine}","job":"{job}","event":"{event}","run":{run}}}"#
            ) + "\n"
        })
        .collect()
}

pub fn client(job: &str, at: u64, rest: &str) -> String {
    format!(r#"{{"at":{at},"job":"{job}","tenant":"ana","once":true,{rest}}}"#) + "\n"
}

pub const WHOLE: &str = r#""seen":"whole","engine":"e1","run":1"#;
pub const NOT_RUN: &str = r#""seen":"refused","status":503,"retry_after":1,"outcome":"not-run""#;

pub fn found(journals: &Journals) -> Vec<Rule> {
    check(&deployment(), journals)
        .iter()
        .map(|finding| finding.rule)
        .collect()
}
