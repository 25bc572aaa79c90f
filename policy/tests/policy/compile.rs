//! The compiler: its errors with their places, and the set points.

use crate::rules::program;
use policy::{compile, parse_duration_ms};

#[test]
fn every_error_has_its_line_and_column() {
    let door = r#"door a at "/a/" tenant bearer model body "m""#;
    type Case<'a> = (String, Vec<(usize, usize, &'a str)>);
    let cases: Vec<Case> = vec![
        (
            "doors a".into(),
            vec![(1, 1, "expected door, route or set, found doors")],
        ),
        (
            "\n  set fill 200%".into(),
            vec![(2, 12, "expected a percentage from 0% to 100%, found 200%")],
        ),
        (
            "set fresh soon\nset what 1".into(),
            vec![
                (
                    1,
                    11,
                    "expected a time such as 250ms, 30s, 5m or 24h, found soon",
                ),
                (2, 5, "expected fill, retries, fresh or expire, found what"),
            ],
        ),
        (
            "set fresh 2h\nset expire 1h".into(),
            vec![(1, 1, "`fresh` is longer than `expire`")],
        ),
        (
            r#"door a at "/a" tenant bearer"#.into(),
            vec![(1, 11, "a door's path ends with a slash, found /a")],
        ),
        (
            r#"door a at "/a/ tenant bearer"#.into(),
            vec![(1, 11, "no closing quote")],
        ),
        (
            r#"door a at "/a/" tenant cookie "x""#.into(),
            vec![(
                1,
                24,
                "expected header, bearer, segment, query or body, found cookie",
            )],
        ),
        (
            r#"door a at "/a/" tenant segment 0"#.into(),
            vec![(1, 32, "expected a segment's number from 1 to 32, found 0")],
        ),
        (
            r#"door a at "/a/" tenant body "x..y""#.into(),
            vec![(
                1,
                29,
                "expected a path of one to eight names with dots between, found \"x..y\"",
            )],
        ),
        (
            format!("{door}\n{door}"),
            vec![(2, 6, "there is a door a already")],
        ),
        (
            format!("{door} more"),
            vec![(1, 46, "nothing more should stand on this line, found more")],
        ),
        (
            format!("{door}\nroute r on b GET \"/a/\" to model once"),
            vec![(2, 12, "no door b stands above this line")],
        ),
        (
            format!("{door}\nroute r on a GET \"/b/x\" to model once"),
            vec![(
                2,
                18,
                "expected a path below /a/ with one * at most, at its end, found \"/b/x\"",
            )],
        ),
        (
            format!("{door}\nroute r on a LIST \"/a/\" to model once"),
            vec![(
                2,
                14,
                "expected GET, HEAD, POST, PUT, PATCH, DELETE or any, found LIST",
            )],
        ),
        (
            format!("{door}\nroute r on a GET \"/a/*x\" to model once"),
            vec![(2, 18, "with one * at most, at its end, found \"/a/*x\"")],
        ),
        (
            format!("{door}\nroute r on a GET \"/a/\" to model twice"),
            vec![(2, 33, "expected `once` or `repeatable`, found twice")],
        ),
        (
            r#"door a at "/a/" tenant bearer
route r on a GET "/a/" to model once"#
                .into(),
            vec![(2, 27, "door a says nothing of where the model stands")],
        ),
    ];
    for (text, wanted) in cases {
        let found = compile(&text).err().unwrap_or_default();
        assert_eq!(found.len(), wanted.len(), "{text}: {found:?}");
        for (found, (line, column, words)) in found.iter().zip(wanted) {
            assert_eq!(
                (found.line, found.column),
                (line, column),
                "{text}: {found}"
            );
            assert!(found.kind.to_string().contains(words), "{text}: {found}");
        }
    }
}

#[test]
fn set_points_and_durations() {
    let points = program().set_points;
    assert_eq!(
        (points.target_utilization, points.fresh_ms, points.expire_ms),
        (0.75, 30_000, 120_000)
    );
    let retries = |text: &str| compile(text).expect("it compiles").set_points.retry_ratio;
    assert_eq!(retries("set retries 90%"), 0.2, "a fifth is the most");
    let cases = [
        ("250ms", Some(250)),
        ("5m", Some(300_000)),
        ("24h", Some(86_400_000)),
        ("5", None),
        ("m", None),
        ("99999999999999999999h", None),
    ];
    for (text, wanted) in cases {
        assert_eq!(parse_duration_ms(text), wanted, "{text}");
    }
}

proptest::proptest! {
    /// Whatever is written, the compiler answers, and its errors lie within the text.
    #[test]
    fn any_text_compiles_or_gives_errors_within_it(text in "(door|route|set|at|\"/a/\"|tenant|bearer|body|[a-z\" #%0-9\n]{0,6}| ){0,40}") {
        if let Err(errors) = compile(&text) {
            proptest::prop_assert!(!errors.is_empty());
            for error in errors {
                proptest::prop_assert!(error.line <= text.lines().count().max(1));
            }
        }
    }
}
