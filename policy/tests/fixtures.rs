//! The one table of routing keys that router and directory go by, and the
//! compiler's complaints.

use policy::{
    compile, parse_duration_ms, ExtractedKey, KeyField, Program, RequestHead, BODY_LIMIT_BYTES,
};

const RULES: &str = r#"
# Four doors, each with its own way of carrying key and model.
door app   at "/app/"   tenant header "X-Tenant-Key"  model header "x-model"
door chat  at "/chat/"  tenant bearer                 model body "options.model"
door shop  at "/shop/"  tenant segment 2
door forms at "/forms/" tenant body "key"             model query "model"

route rewrite on app   POST "/app/rewrite" to model           once       deadline 60s prefix body "prompt" 8
route ask     on chat  POST "/chat/*"      to model           repeatable prefix header "x-talk" 4
route thumb   on shop  GET  "/shop/*"      to service thumbs  repeatable deadline 250ms
route form    on forms any  "/forms/send"  to model           once
set fill 75%
set fresh 30s
set expire 2m
"#;

fn program() -> Program {
    compile(RULES).expect("the fixture compiles")
}

fn ask(
    program: &Program,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &str,
    is_ended: bool,
) -> Option<(String, ExtractedKey)> {
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let header = |name: &str| {
        headers
            .iter()
            .find(|(known, _)| *known == name)
            .map(|(_, value)| value.to_string())
    };
    let head = RequestHead {
        method,
        path,
        query,
        header: &header,
        split_seed: 1,
    };
    let route = program.match_route(&head)?;
    let extract = program.extract_key(route, &head, body.as_bytes(), is_ended, BODY_LIMIT_BYTES);
    Some((program.routes[route].name.clone(), extract))
}

#[test]
fn keys_are_read_from_every_door() {
    let known = |text: &str| KeyField::Known(text.into());
    type Case<'a> = (
        &'a str,
        &'a str,
        &'a [(&'a str, &'a str)],
        &'a str,
        bool,
        Option<(&'a str, KeyField, KeyField)>,
    );
    let cases: Vec<Case> = vec![
        (
            "POST",
            "/app/rewrite",
            &[("x-tenant-key", "k1"), ("x-model", "m")],
            "",
            false,
            Some(("rewrite", known("k1"), known("m"))),
        ),
        (
            "POST",
            "/app/rewrite",
            &[("x-model", "m")],
            "",
            true,
            Some(("rewrite", KeyField::Missing, known("m"))),
        ),
        ("GET", "/app/rewrite", &[], "", true, None),
        ("POST", "/app/rewrite/more", &[], "", true, None),
        (
            "POST",
            "/chat/x",
            &[("authorization", "bearer k2")],
            r#"{"options":{"model":"m2"},"#,
            false,
            Some(("ask", known("k2"), known("m2"))),
        ),
        (
            "POST",
            "/chat/x",
            &[("authorization", "Basic k2")],
            r#"{"options":{"#,
            false,
            Some(("ask", KeyField::Missing, KeyField::Pending)),
        ),
        (
            "POST",
            "/chat/x",
            &[],
            r#"{"options":{}}"#,
            true,
            Some(("ask", KeyField::Missing, KeyField::Missing)),
        ),
        (
            "POST",
            "/chat/x",
            &[],
            "not json",
            true,
            Some(("ask", KeyField::Missing, KeyField::Missing)),
        ),
        (
            "GET",
            "/shop/k%203/a.png",
            &[],
            "",
            true,
            Some(("thumb", known("k 3"), known("thumbs"))),
        ),
        (
            "GET",
            "/shop/",
            &[],
            "",
            true,
            Some(("thumb", KeyField::Missing, known("thumbs"))),
        ),
        (
            "PUT",
            "/forms/send?a=b&model=m4",
            &[],
            r#"{"key":"k\u0034"}"#,
            true,
            Some(("form", known("k4"), known("m4"))),
        ),
        (
            "PUT",
            "/forms/send?model=",
            &[],
            r#"{"key":"#,
            false,
            Some(("form", KeyField::Pending, KeyField::Missing)),
        ),
        (
            "PUT",
            "/forms/send",
            &[],
            r#"{"key":{"a":1}}"#,
            true,
            Some(("form", KeyField::Missing, KeyField::Missing)),
        ),
    ];
    let program = program();
    for (method, target, headers, body, is_ended, wanted) in cases {
        let found = ask(&program, method, target, headers, body, is_ended);
        let found = found.map(|(route, extract)| (route, extract.tenant, extract.service));
        let wanted = wanted.map(|(route, tenant, service)| (route.to_string(), tenant, service));
        assert_eq!(found, wanted, "{method} {target} {body}");
    }
}

#[test]
fn a_key_past_the_cap_is_missing_and_never_wanted() {
    let program = program();
    let body = format!(
        r#"{{"prompt":"{}","key":"k"}}"#,
        "x".repeat(BODY_LIMIT_BYTES)
    );
    let short = &body[..BODY_LIMIT_BYTES - 1];
    let field = |body: &str, is_ended| {
        let found = ask(&program, "PUT", "/forms/send", &[], body, is_ended);
        found.expect("the route fits").1.tenant
    };
    assert_eq!(field(short, false), KeyField::Pending);
    assert_eq!(field(&body[..BODY_LIMIT_BYTES], false), KeyField::Missing);
    assert_eq!(field(&body, true), KeyField::Missing);
}

#[test]
fn a_prefix_is_complete_early_and_is_the_same_however_the_body_is_cut() {
    let program = program();
    let body = r#"{"prompt":"once upon a time","x":1}"#;
    let prefix = |text: &str, is_ended| {
        let found = ask(&program, "POST", "/app/rewrite", &[], text, is_ended);
        found.expect("the route fits").1.prefix_hash
    };
    let whole = prefix(body, true);
    assert!(whole.is_some_and(|mark| mark != 0));
    for cut in 0..body.len() {
        let seen = prefix(&body[..cut], false);
        assert!(seen.is_none() || seen == whole, "cut at {cut}");
    }
    assert_eq!(
        prefix(&body.replace(" time", " tide"), true),
        whole,
        "only its beginning counts"
    );
    assert_ne!(prefix(&body.replace("once", "then"), true), whole);
}

#[test]
fn every_complaint_has_its_place() {
    let door = r#"door a at "/a/" tenant bearer model body "m""#;
    type Case<'a> = (String, Vec<(usize, usize, &'a str)>);
    let cases: Vec<Case> = vec![
        ("doors a".into(), vec![(1, 1, "a statement begins")]),
        ("\n  set fill 200%".into(), vec![(2, 12, "a percentage")]),
        (
            "set fresh soon\nset what 1".into(),
            vec![(1, 11, "a time"), (2, 5, "a set point is")],
        ),
        (
            "set fresh 2h\nset expire 1h".into(),
            vec![(1, 1, "`fresh` is longer")],
        ),
        (
            r#"door a at "/a" tenant bearer"#.into(),
            vec![(1, 11, "ends with a slash")],
        ),
        (
            r#"door a at "/a/ tenant bearer"#.into(),
            vec![(1, 11, "no closing quote")],
        ),
        (
            r#"door a at "/a/" tenant cookie "x""#.into(),
            vec![(1, 24, "a source is")],
        ),
        (
            r#"door a at "/a/" tenant segment 0"#.into(),
            vec![(1, 32, "a segment's number")],
        ),
        (
            r#"door a at "/a/" tenant body "x..y""#.into(),
            vec![(1, 29, "one to eight names")],
        ),
        (format!("{door}\n{door}"), vec![(2, 6, "a door a already")]),
        (format!("{door} more"), vec![(1, 46, "nothing more")]),
        (
            format!("{door}\nroute r on b GET \"/a/\" to model once"),
            vec![(2, 12, "no door b")],
        ),
        (
            format!("{door}\nroute r on a GET \"/b/x\" to model once"),
            vec![(2, 18, "below /a/")],
        ),
        (
            format!("{door}\nroute r on a LIST \"/a/\" to model once"),
            vec![(2, 14, "a method is")],
        ),
        (
            format!("{door}\nroute r on a GET \"/a/*x\" to model once"),
            vec![(2, 18, "one * at most")],
        ),
        (
            format!("{door}\nroute r on a GET \"/a/\" to model twice"),
            vec![(2, 33, "`once` or")],
        ),
        (
            r#"door a at "/a/" tenant bearer
route r on a GET "/a/" to model once"#
                .into(),
            vec![(2, 27, "says nothing of where the model")],
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
            assert!(found.text.contains(words), "{text}: {found}");
        }
    }
}

#[test]
fn set_points_and_spans() {
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
    /// Whatever is written, the compiler answers, and its places lie within
    /// the text.
    #[test]
    fn any_text_is_compiled_or_refused_in_its_place(text in "(door|route|set|at|\"/a/\"|tenant|bearer|body|[a-z\" #%0-9\n]{0,6}| ){0,40}") {
        if let Err(complaints) = compile(&text) {
            proptest::prop_assert!(!complaints.is_empty());
            for complaint in complaints {
                proptest::prop_assert!(complaint.line <= text.lines().count().max(1));
            }
        }
    }
}
