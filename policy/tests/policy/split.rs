//! Splits of a route: each service gets its share of the requests.

use policy::{compile, stable_hash, KeyField, RequestHead, BODY_LIMIT_BYTES};

const RULES: &str = r#"
door front at "/" tenant bearer
route parts  on front any "/parts/*"  to split old 70 new 30 repeatable parts header "x-parts"
route prefix on front any "/prefix/*" to split old 70 new 30 repeatable prefix header "x-talk" 8
route plain  on front any "/plain/*"  to split old 70 new 30 repeatable
"#;
const REQUESTS: usize = 4_000;
const EXPECTED_SHARE: f64 = 0.3;
/// Four standard deviations of the share over so many requests.
const TOLERANCE: f64 = 0.03;

/// The service of the request with this id; all requests have one prompt prefix in common.
fn service(path: &str, id: &str) -> String {
    let program = compile(RULES).expect("the fixture compiles");
    let header = |name: &str| match name {
        "x-parts" => Some(format!(
            "5c1e07a2:800,{:016x}:50",
            stable_hash(id.as_bytes())
        )),
        "x-talk" => Some("the same talk".into()),
        _ => None,
    };
    let head = RequestHead {
        method: "POST",
        path,
        query: "",
        header: &header,
        split_seed: stable_hash(id.as_bytes()),
    };
    let route = program.match_route(&head).expect("a route matches");
    match program
        .extract_key(route, &head, b"", true, BODY_LIMIT_BYTES)
        .service
    {
        KeyField::Known(service) => service,
        other => panic!("the service is not known: {other:?}"),
    }
}

/// Guards: requests whose prompts begin alike all went to one service, whatever the shares.
#[test]
fn a_split_gives_each_service_its_share_whatever_prompts_have_in_common() {
    for path in ["/parts/a", "/prefix/a", "/plain/a"] {
        let to_new = (0..REQUESTS)
            .filter(|number| service(path, &format!("request-{number}")) == "new")
            .count();
        let share = to_new as f64 / REQUESTS as f64;
        assert!(
            (share - EXPECTED_SHARE).abs() < TOLERANCE,
            "{path}: {share} of the requests"
        );
    }
}
