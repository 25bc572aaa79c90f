//! Workloads: reading, writing and generating them.

use testbed::workload::{generate, parse, Generation, TimedAction};

const DEPLOYMENTS: [&str; 2] = [
    include_str!("../deployments/haatbari.json"),
    include_str!("../deployments/turnos.json"),
];

#[test]
fn bad_lines_are_all_reported_with_their_places() {
    let good = r#"{"at":5,"zone":"z","tenant":"t","service":"s","method":"GET","target":"/x"}"#;
    let cases = [
        (good.to_string(), vec![]),
        (
            format!("{good}\n{}", good.replace(":5", ":4")),
            vec!["line 2: at: it goes back"],
        ),
        ("{".into(), vec!["line 1: column"]),
        (
            good.replace("\"zone\"", "\"zoen\""),
            vec!["line 1: zoen: no such field"],
        ),
        (good.replace("\"z\"", "7"), vec!["line 1: zone: a text"]),
        (
            r#"{"at":1,"machine":"melt","name":"x"}"#.into(),
            vec!["line 1: machine: melt"],
        ),
        (
            r#"{"at":1,"operator":{}}"#.into(),
            vec!["line 1: operator.do"],
        ),
        ("[]\n{}".into(), vec!["line 1: an object", "line 2: at:"]),
    ];
    for (text, wanted) in cases {
        let found = parse(&text).err().unwrap_or_default();
        assert_eq!(found.len(), wanted.len(), "{text}: {found:?}");
        for (found, wanted) in found.iter().zip(wanted) {
            let found = found.to_string();
            assert!(found.starts_with(wanted), "{text}: {found}");
        }
    }
}

#[test]
fn a_generated_workload_reads_back_and_is_the_same_for_the_same_seed() {
    let generation = Generation {
        seconds: 5,
        scale: 1.0,
        seed: 7,
    };
    for deployment in DEPLOYMENTS {
        let workload = generate(deployment, None, &generation).expect("the samples have a mix");
        let text: Vec<String> = workload.iter().map(TimedAction::to_line).collect();
        assert!(workload.len() > 50);
        assert_eq!(parse(&text.join("\n")).as_ref(), Ok(&workload));
        assert_eq!(generate(deployment, None, &generation).ok(), Some(workload));
    }
}
