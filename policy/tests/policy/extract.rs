//! The table of routing keys by which routers and directory nodes agree.

use crate::rules::program;
use policy::{ExtractedKey, KeyField, Program, RequestHead, BODY_LIMIT_BYTES};

fn extract(
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
fn keys_are_extracted_on_every_ingress() {
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
        let found = extract(&program, method, target, headers, body, is_ended);
        let found = found.map(|(route, extract)| (route, extract.tenant, extract.service));
        let wanted = wanted.map(|(route, tenant, service)| (route.to_string(), tenant, service));
        assert_eq!(found, wanted, "{method} {target} {body}");
    }
}

#[test]
fn a_key_past_the_limit_is_missing_and_never_pending() {
    let program = program();
    let body = format!(
        r#"{{"prompt":"{}","key":"k"}}"#,
        "x".repeat(BODY_LIMIT_BYTES)
    );
    let short = &body[..BODY_LIMIT_BYTES - 1];
    let field = |body: &str, is_ended| {
        let found = extract(&program, "PUT", "/forms/send", &[], body, is_ended);
        found.expect("the route fits").1.tenant
    };
    assert_eq!(field(short, false), KeyField::Pending);
    assert_eq!(field(&body[..BODY_LIMIT_BYTES], false), KeyField::Missing);
    assert_eq!(field(&body, true), KeyField::Missing);
}

#[test]
fn a_prefix_is_known_early_and_the_same_however_the_body_is_truncated() {
    let program = program();
    let body = r#"{"prompt":"once upon a time","x":1}"#;
    let prefix = |text: &str, is_ended| {
        let found = extract(&program, "POST", "/app/rewrite", &[], text, is_ended);
        found.expect("the route fits").1.prefix_hash
    };
    let complete = prefix(body, true);
    assert!(complete.is_some_and(|hash| hash != 0));
    for length in 0..body.len() {
        let seen = prefix(&body[..length], false);
        assert!(seen.is_none() || seen == complete, "truncated at {length}");
    }
    assert_eq!(
        prefix(&body.replace(" time", " tide"), true),
        complete,
        "only its beginning counts"
    );
    assert_ne!(prefix(&body.replace("once", "then"), true), complete);
}
