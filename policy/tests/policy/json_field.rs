//! Searching a field in JSON bodies that have come in part.

use policy::{find_field, FieldSearch};

#[test]
fn fields_are_found_in_complete_and_partial_bodies() {
    let found = |raw: &str, is_complete| FieldSearch::Found {
        raw: raw.into(),
        is_complete,
    };
    let cases: Vec<(&str, &str, bool, FieldSearch)> = vec![
        (r#"{"model":"a"}"#, "model", true, found("a", true)),
        (
            r#"{"x":[1,{"model":"no"}],"model":"a""#,
            "model",
            false,
            found("a", true),
        ),
        (r#"{"a":{"k":"v"}}"#, "a.k", true, found("v", true)),
        (r#"{"a":7}"#, "a", true, found("7", true)),
        (r#"{"a":"par"#, "a", false, found("par", false)),
        (r#"{"a":"par"#, "a", true, FieldSearch::Malformed(9)),
        (r#"{"b":1"#, "a", false, FieldSearch::Incomplete),
        (r#"{"b":1}"#, "a", true, FieldSearch::Absent),
        (r#"{}"#, "a", true, FieldSearch::Absent),
        ("", "a", true, FieldSearch::Malformed(0)),
        ("[1]", "a", true, FieldSearch::Malformed(0)),
        (r#"{"b":zzz,"a":1}"#, "a", true, FieldSearch::Malformed(5)),
        (r#"{"b":[}],"a":1}"#, "a", true, FieldSearch::Malformed(6)),
        (r#"{"a":{"b":1}}"#, "a", true, FieldSearch::Absent),
        (r#"{"q":"\"a\":","a":"x"}"#, "a", true, found("x", true)),
    ];
    for (body, path, is_body_complete, wanted) in cases {
        let path: Vec<String> = path.split('.').map(String::from).collect();
        assert_eq!(
            find_field(body.as_bytes(), &path, is_body_complete),
            wanted,
            "{body}"
        );
    }
}

#[test]
fn nesting_past_the_limit_is_malformed() {
    let body = format!("{{\"b\":{}", "[".repeat(1000));
    assert!(matches!(
        find_field(body.as_bytes(), &["a".into()], false),
        FieldSearch::Malformed(_)
    ));
}

proptest::proptest! {
    /// Wherever the body is truncated, no search gives another value than the complete body.
    #[test]
    fn a_truncated_body_never_gives_another_value(length in 0usize..60, value in "[a-z]{1,12}") {
        let body = format!(r#"{{"pad":{{"k":[1,2,"x"]}},"model":"{value}","z":1}}"#);
        let length = length.min(body.len());
        match find_field(&body.as_bytes()[..length], &["model".into()], false) {
            FieldSearch::Found { raw, is_complete: true } => assert_eq!(raw, value.as_bytes()),
            FieldSearch::Found { raw, is_complete: false } => assert!(value.as_bytes().starts_with(&raw)),
            FieldSearch::Incomplete => {}
            other => panic!("{other:?}"),
        }
    }
}
